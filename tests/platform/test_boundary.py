"""Only the adapter uses the platform's names, and it stays small."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2] / 'filbertglade'
ADAPTER = ROOT / 'platform'
MAX_LINES = 800
# The platform's headers, paths and field names, as its documentation spells
# them. X-Request-Id is left out: the product's own interface has it too.
PLATFORM_NAMES = re.compile(
    r'X-(?:Time-Budget-Ms|Key|Tenant|Target-Instance|Not-Executed'
    r'|Server-Signature|Instance-Load|Instance-Id|Model|Token-Counts'
    r'|Prompt-Prefix|Request-Priority|Weight-Versions|Length-Hint)\b'
    r'|At-Server|/config/put|/config/get|/instances/|/heartbeat\b'
    r'|readiness_address|api_keys|route_type|target_latency_ms'
    r'|target_gap_ms|traffic_split|heartbeat_url|FILBERTGLADE_NODE_FILE'
    r'|fault_tolerance|internal_ports|loss_counts'
)


def list_sources():
    return [
        path
        for path in ROOT.rglob('*.py')
        if not path.name.endswith(('_pb2.py', '_grpc.py'))
    ]


def test_only_the_gateway_command_imports_the_adapter():
    importers = [
        path.relative_to(ROOT).as_posix()
        for path in list_sources()
        if ADAPTER not in path.parents
        and re.search(
            r'^(?:from|import) filbertglade\.?(?:\.platform| import platform)',
            path.read_text(),
            re.MULTILINE,
        )
    ]
    assert importers == ['commands/gateway.py']


def test_no_other_module_uses_the_platforms_names():
    users = {
        path.relative_to(ROOT).as_posix(): found[0]
        for path in list_sources()
        if ADAPTER not in path.parents
        and (found := PLATFORM_NAMES.findall(path.read_text()))
    }
    assert users == {}


def test_the_adapter_is_small():
    lines = sum(
        len(path.read_text().splitlines()) for path in ADAPTER.rglob('*.py')
    )
    assert lines < MAX_LINES
