"""Cost on a control host of relays, the group controller and documents.

python -m benchmarks.control_host relays
python -m benchmarks.control_host controller
python -m benchmarks.control_host documents
"""

import asyncio
import json
import random
import resource
import time

import typer

from benchmarks import attachment
from filbertglade.configuration import validation
from filbertglade.control import state
from filbertglade.groups import controller
from filbertglade.inner import channels
from filbertglade.inner import commands_pb2
from filbertglade.inner import membership_pb2
from filbertglade.membership import announcements
from filbertglade.membership import membership_server
from filbertglade.membership import presence
from filbertglade.membership import relay_batch
from filbertglade.membership import relay_peers
from filbertglade.membership import reported_state
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.settings import model

PEER_COUNT = 6
FEED_INTERVAL_S = attachment.RELAY_INTERVAL_MS / 1000
CONTROLLER_PASSES = 50
DOCUMENT_ROUNDS = 20
DOMAIN_COUNT = 5

app = typer.Typer(add_completion=False)


class IdleLeaderStub:
    """Stub of the replicated log of a leader that commits nothing."""

    is_leader = True
    leader = 'control'

    def lease_remaining_ms(self) -> int:
        """Return a lease that never runs out."""
        return 900

    def add_leadership_listener(self, listener: object) -> None:
        """Accept a listener and never call it."""


def make_peer_settings(name: str, port: int) -> model.NodeSettings:
    """Return the settings of a control host with one peer.

    :param name: its name.
    :param port: the peer's inner port.
    """
    settings = attachment.make_settings(name, port)
    own = model.ControlHostSettings(name, '127.0.0.1:1', 'north')
    settings.control.hosts.append(own)
    return settings


def make_node_frame(
    hosts: range, sequence: int, rng: random.Random
) -> membership_pb2.NodeFrame:
    """Return a frame with the announcements of one interval.

    Half of the hosts announce in each interval.

    :param hosts: numbers of the hosts.
    :param sequence: number of the interval.
    :param rng: random numbers for the loads.
    """
    inbox = announcements.AnnouncementInbox('run')
    for host in hosts:
        if (host + sequence) % 2 == 0:
            inbox.accept(attachment.make_form(host, sequence, rng))
    return membership_pb2.NodeFrame(announcements=inbox.take())


def feed_reports(
    reported: reported_state.ReportedState,
    hosts: range,
    nodes: range,
    sequence: int,
    rng: random.Random,
) -> None:
    """Pass one interval's node reports to a control host.

    :param reported: the control host's reported state.
    :param hosts: numbers of the hosts that announce to its nodes.
    :param nodes: numbers of the nodes attached to it.
    :param sequence: number of the interval.
    :param rng: random numbers for the loads.
    """
    frame = make_node_frame(hosts, sequence, rng)
    for node in nodes:
        frame.report.node = f'node-{node}'
        frame.report.run = '0123456789abcdef0123456789abcdef'
        frame.report.sequence = sequence
        frame.report.region = 'central'
        frame.report.data_centre = 'north'
        frame.report.inner_address = '10.20.30.40:9000'
        frame.report.configuration_number = 300
        reported.take_node_frame(frame, 0)
        del frame.announcements[:]


def split_range(count: int, part: int, parts: int) -> range:
    """Return one of several equal parts of ``range(count)``.

    :param count: length of the range.
    :param part: index of the part.
    :param parts: number of parts.
    """
    return range(count * part // parts, count * (part + 1) // parts)


async def _feed_peers(
    peers: list[membership_server.MembershipServer],
    hosts: int,
    nodes: int,
    rng: random.Random,
) -> None:
    sequence = 0
    while True:
        sequence += 1
        for part, peer in enumerate(peers):
            feed_reports(
                peer._reported,
                split_range(hosts, part, PEER_COUNT + 1),
                split_range(nodes, part, PEER_COUNT + 1),
                sequence,
                rng,
            )
        await asyncio.sleep(FEED_INTERVAL_S)


async def _measure_relay_bytes(hosts: int, nodes: int) -> float:
    """Return the bytes a second that a control host relays to one peer."""
    rng = random.Random(1)
    settings = make_peer_settings('peer', 1)
    reported = reported_state.ReportedState('peer')
    batch = relay_batch.RelayBatch(
        'peer', 'control', reported, relay_peers.RelayPeers(settings)
    )
    total = intervals = 0
    for sequence in range(1, 41):
        feed_reports(
            reported,
            split_range(hosts, 0, PEER_COUNT + 1),
            split_range(nodes, 0, PEER_COUNT + 1),
            sequence,
            rng,
        )
        frame = membership_pb2.RelayFrame()
        batch.write(frame)
        total += frame.ByteSize()
        intervals += 1
        await asyncio.sleep(FEED_INTERVAL_S)
    return total / intervals / FEED_INTERVAL_S


async def _measure_relays(
    hosts: int, nodes: int, duration_s: float
) -> tuple[float, float]:
    groups = hosts // attachment.HOSTS_PER_GROUP
    control = attachment.ControlHostProcess(groups)
    rng = random.Random(1)
    peers = [
        membership_server.MembershipServer(
            make_peer_settings(f'peer-{part}', control.port),
            state.AgreedState(),
            attachment.SoleLeaderStub(),  # type: ignore[arg-type]
            channels.SocketChannels(),
            metrics.Metrics(),
        )
        for part in range(PEER_COUNT)
    ]
    feeding = asyncio.create_task(_feed_peers(peers, hosts, nodes, rng))
    idle_ms = await _measure_own_processor(duration_s)
    for peer in peers:
        await peer.start()
    await asyncio.sleep(attachment.WARM_UP_S)
    started_s, _ = control.read_usage()
    sending_ms = await _measure_own_processor(duration_s) - idle_ms
    ended_s, _ = control.read_usage()
    received_ms = 1000 * (ended_s - started_s) / duration_s
    feeding.cancel()
    for peer in peers:
        await peer.close()
    control.close()
    return received_ms, sending_ms


async def _measure_own_processor(duration_s: float) -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    started_s = usage.ru_utime + usage.ru_stime
    await asyncio.sleep(duration_s)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return 1000 * (usage.ru_utime + usage.ru_stime - started_s) / duration_s


@app.command()
def relays(duration_s: float = 10.0) -> None:
    """Measure relays among seven control hosts.

    Each of them has an equal part of the hosts and nodes.

    :param duration_s: duration of each measurement.
    """
    print(
        '| hosts | nodes | receiving from 6 | sending to 6 | bytes to a peer |'
    )
    print('|---|---|---|---|---|')
    for hosts, nodes in ((150, 95), (300, 190), (600, 380), (1200, 760)):
        received, sent = asyncio.run(_measure_relays(hosts, nodes, duration_s))
        bytes_s = attachment.run_in_virtual_time(
            _measure_relay_bytes(hosts, nodes)
        )
        print(
            f'| {hosts} | {nodes} | {received:.0f} ms/s | {sent:.0f} ms/s | '
            f'{bytes_s:.0f} B/s |',
            flush=True,
        )


def make_document(deployments: int, replicas: int, customers: int) -> bytes:
    """Return a configuration document.

    :param deployments: number of deployments.
    :param replicas: replicas of each deployment.
    :param customers: number of customers.
    """
    domains = [f'fabric-{number}' for number in range(DOMAIN_COUNT)]
    names = [f'customer-{number}' for number in range(customers)]
    data = {
        'number': 1,
        'change_id': 'one',
        'customers': [
            {'name': name, 'key_sha256': f'{number:064x}'}
            for number, name in enumerate(names)
        ],
        'fabric_domains': [
            {'name': name, 'data_centre': 'north', 'fencing': 'checked'}
            for name in domains
        ],
        'deployments': [
            {
                'name': f'writer-{number}',
                'model': 'writer',
                'version': '1',
                'customers': names,
                'fabric_domains': domains,
                'hosts_per_replica': attachment.HOSTS_PER_GROUP,
                'replicas': replicas,
                'spare_hosts': 0,
            }
            for number in range(deployments)
        ],
    }
    return validation.canonical_text(json.dumps(data).encode())


async def _measure_controller(groups: int) -> float:
    rng = random.Random(1)
    agreed = state.AgreedState()
    change = commands_pb2.PutConfiguration(
        number=1, change_id='one', document=make_document(10, groups // 10, 10)
    )
    agreed.apply(1, commands_pb2.Command(put_configuration=change))
    attachment.form_groups(agreed, groups)
    records = list(agreed.groups.groups.values())
    for record in records:
        record.model = 'writer'
        record.version = '1'
    table = presence.PresenceTable()
    settings = attachment.make_settings('control', 1)
    group_controller = controller.GroupController(
        settings,
        agreed,
        IdleLeaderStub(),  # type: ignore[arg-type]
        table,
    )
    document = group_controller._read_document()
    assert document is not None
    spent_s = 0.0
    for step in range(1, CONTROLLER_PASSES + 1):
        for record in records:
            for host in record.hosts:
                number = int(host.rpartition('-')[2])
                form = attachment.make_form(number, step, rng)
                form.epoch = record.epoch
                inbox = announcements.AnnouncementInbox('run')
                inbox.accept(form)
                table.note_host(inbox.take()[0], 0)
        started_s = time.process_time()
        group_controller._monitor.refresh()
        await group_controller._run_pass(document)
        spent_s += time.process_time() - started_s
    await group_controller.close()
    return spent_s / CONTROLLER_PASSES


@app.command(name='controller')
def measure_controller() -> None:
    """Measure processor time of the control loop while all groups serve."""
    print('| groups | hosts | a step | a second |')
    print('|---|---|---|---|')
    for groups in (20, 50, 150, 300):
        step_s = asyncio.run(_measure_controller(groups))
        per_second = step_s * 1000 / controller.PASS_INTERVAL_MS
        print(
            f'| {groups} | {groups * attachment.HOSTS_PER_GROUP} | '
            f'{1000 * step_s:.1f} ms | {1000 * per_second:.0f} ms/s |',
            flush=True,
        )


@app.command()
def documents() -> None:
    """Measure documents' sizes and a node's time to put one in force."""
    print('| customers | deployments | size | put in force |')
    print('|---|---|---|---|')
    for customers, deployments in ((10, 10), (100, 50), (300, 150)):
        document = make_document(deployments, 1, customers)
        settings = attachment.make_settings('node', 1)
        update = membership_pb2.ConfigurationUpdate(
            number=1, document=document
        )
        started_s = time.process_time()
        for _ in range(DOCUMENT_ROUNDS):
            view.FleetView(settings).put_in_force(update)
        spent_ms = 1000 * (time.process_time() - started_s) / DOCUMENT_ROUNDS
        print(
            f'| {customers} | {deployments} | {len(document)} bytes | '
            f'{spent_ms:.2f} ms |'
        )


if __name__ == '__main__':
    app()
