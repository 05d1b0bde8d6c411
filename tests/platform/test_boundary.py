"""The adapter stays small, and nothing else knows the platform's words."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2] / 'filbertglade'
ADAPTER = ROOT / 'platform'
LARGEST_LINES = 800
# Its headers, calls and field names, as its pages print them; the header of
# request ids is also one of the product's own interface.
FOREIGN_WORDS = re.compile(
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


def test_only_the_starting_command_imports_the_adapter():
    importing = [
        path.relative_to(ROOT).as_posix()
        for path in list_sources()
        if ADAPTER not in path.parents
        and re.search(
            r'^(?:from|import) filbertglade\.?(?:\.platform| import platform)',
            path.read_text(),
            re.MULTILINE,
        )
    ]
    assert importing == ['commands/gateway.py']


def test_no_other_module_knows_the_platforms_words():
    knowing = {
        path.relative_to(ROOT).as_posix(): found[0]
        for path in list_sources()
        if ADAPTER not in path.parents
        and (found := FOREIGN_WORDS.findall(path.read_text()))
    }
    assert knowing == {}


def test_the_adapter_is_small():
    lines = sum(
        len(path.read_text().splitlines()) for path in ADAPTER.rglob('*.py')
    )
    assert lines < LARGEST_LINES
