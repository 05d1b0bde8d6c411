"""What a control host spends on its peers and, as leader, on groups.

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

PEERS = 6
FEED_S = attachment.RELAY_MS / 1000
CONTROLLER_STEPS = 50
DOCUMENT_READS = 20
DOMAINS = 5

app = typer.Typer(add_completion=False)


class IdleVoters:
    """Stands for the replicated log of a leader that commits nothing."""

    is_leader = True
    leader = 'control'

    def lease_remaining_ms(self) -> int:
        """Return a lease that is always good."""
        return 900

    def add_leadership_listener(self, listener: object) -> None:
        """Take a listener and never call it."""


def make_peer_settings(name: str, port: int) -> model.NodeSettings:
    """Return the settings of a control host that relays to one other.

    :param name: its name.
    :param port: the other one's inner port.
    """
    settings = attachment.make_settings(name, port)
    own = model.ControlHostSettings(name, '127.0.0.1:1', 'north')
    settings.control.hosts.append(own)
    return settings


def make_node_frame(
    hosts: range, sequence: int, rng: random.Random
) -> membership_pb2.NodeFrame:
    """Return what the nodes of one control host report in one interval.

    Half of the hosts announce in each interval.

    :param hosts: numbers of the hosts that announce to them.
    :param sequence: number of the interval.
    :param rng: for the loads.
    """
    inbox = announcements.AnnouncementInbox('run')
    for host in hosts:
        if (host + sequence) % 2 == 0:
            inbox.accept(attachment.make_form(host, sequence, rng))
    return membership_pb2.NodeFrame(announcements=inbox.take())


def feed(
    heard: reported_state.ReportedState,
    hosts: range,
    nodes: range,
    sequence: int,
    rng: random.Random,
) -> None:
    """Give a control host one interval's reports.

    :param heard: what it knows.
    :param hosts: numbers of the hosts that announce through it.
    :param nodes: numbers of the nodes attached to it.
    :param sequence: number of the interval.
    :param rng: for the loads.
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
        heard.take_node_frame(frame, 0)
        del frame.announcements[:]


def share(count: int, part: int, parts: int) -> range:
    """Return one of several equal parts of a range.

    :param count: length of the range.
    :param part: which part.
    :param parts: how many.
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
            feed(
                peer._reported,
                share(hosts, part, PEERS + 1),
                share(nodes, part, PEERS + 1),
                sequence,
                rng,
            )
        await asyncio.sleep(FEED_S)


async def _measure_relay_bytes(hosts: int, nodes: int) -> float:
    """Return bytes a second to one peer."""
    rng = random.Random(1)
    settings = make_peer_settings('peer', 1)
    heard = reported_state.ReportedState('peer')
    batch = relay_batch.RelayBatch(
        'peer', 'control', heard, relay_peers.RelayPeers(settings)
    )
    total = intervals = 0
    for sequence in range(1, 41):
        feed(
            heard,
            share(hosts, 0, PEERS + 1),
            share(nodes, 0, PEERS + 1),
            sequence,
            rng,
        )
        frame = membership_pb2.RelayFrame()
        batch.write(frame)
        total += frame.ByteSize()
        intervals += 1
        await asyncio.sleep(FEED_S)
    return total / intervals / FEED_S


async def _measure_relays(
    hosts: int, nodes: int, duration_s: float
) -> tuple[float, float]:
    groups = hosts // attachment.HOSTS_PER_GROUP
    control = attachment.Control(groups)
    rng = random.Random(1)
    peers = [
        membership_server.MembershipServer(
            make_peer_settings(f'peer-{part}', control.port),
            state.AgreedState(),
            attachment.LoneLeader(),  # type: ignore[arg-type]
            channels.SocketChannels(),
            metrics.Metrics(),
        )
        for part in range(PEERS)
    ]
    feeding = asyncio.create_task(_feed_peers(peers, hosts, nodes, rng))
    idle_ms = await _measure_own(duration_s)
    for peer in peers:
        await peer.start()
    await asyncio.sleep(attachment.WARM_S)
    started_s, _ = control.read_usage()
    sending_ms = await _measure_own(duration_s) - idle_ms
    ended_s, _ = control.read_usage()
    received_ms = 1000 * (ended_s - started_s) / duration_s
    feeding.cancel()
    for peer in peers:
        await peer.close()
    control.close()
    return received_ms, sending_ms


async def _measure_own(duration_s: float) -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    began_s = usage.ru_utime + usage.ru_stime
    await asyncio.sleep(duration_s)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return 1000 * (usage.ru_utime + usage.ru_stime - began_s) / duration_s


@app.command()
def relays(duration_s: float = 10.0) -> None:
    """Cost of relays among seven control hosts that share hosts and nodes.

    :param duration_s: time of each trial.
    """
    print(
        '| hosts | nodes | receiving from 6 | sending to 6 | bytes to a peer |'
    )
    print('|---|---|---|---|---|')
    for hosts, nodes in ((150, 95), (300, 190), (600, 380), (1200, 760)):
        received, sent = asyncio.run(_measure_relays(hosts, nodes, duration_s))
        bytes_s = attachment._run_virtual(_measure_relay_bytes(hosts, nodes))
        print(
            f'| {hosts} | {nodes} | {received:.0f} ms/s | {sent:.0f} ms/s | '
            f'{bytes_s:.0f} B/s |',
            flush=True,
        )


def make_document(deployments: int, replicas: int, customers: int) -> bytes:
    """Return an operators' document.

    :param deployments: how many.
    :param replicas: groups of each.
    :param customers: how many.
    """
    domains = [f'fabric-{number}' for number in range(DOMAINS)]
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
    leading = controller.GroupController(
        settings,
        agreed,
        IdleVoters(),  # type: ignore[arg-type]
        table,
    )
    document = leading._read_document()
    assert document is not None
    spent_s = 0.0
    for step in range(1, CONTROLLER_STEPS + 1):
        for record in records:
            for host in record.hosts:
                number = int(host.rpartition('-')[2])
                form = attachment.make_form(number, step, rng)
                form.epoch = record.epoch
                inbox = announcements.AnnouncementInbox('run')
                inbox.accept(form)
                table.note_host(inbox.take()[0], 0)
        began_s = time.process_time()
        leading._monitor.refresh()
        await leading._run_pass(document)
        spent_s += time.process_time() - began_s
    await leading.close()
    return spent_s / CONTROLLER_STEPS


@app.command(name='controller')
def measure_controller() -> None:
    """Processor time of the leader's loop over groups that all serve."""
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
    """Size of documents, and a node's time to put one in force."""
    print('| customers | deployments | size | put in force |')
    print('|---|---|---|---|')
    for customers, deployments in ((10, 10), (100, 50), (300, 150)):
        text = make_document(deployments, 1, customers)
        settings = attachment.make_settings('node', 1)
        update = membership_pb2.ConfigurationUpdate(number=1, document=text)
        began_s = time.process_time()
        for _ in range(DOCUMENT_READS):
            view.FleetView(settings).put_in_force(update)
        spent_ms = 1000 * (time.process_time() - began_s) / DOCUMENT_READS
        print(
            f'| {customers} | {deployments} | {len(text)} bytes | '
            f'{spent_ms:.2f} ms |'
        )


if __name__ == '__main__':
    app()
