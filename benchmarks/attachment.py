"""Cost of attachments of nodes to a control host.

The parts measure bytes a second, processor time and memory:

python -m benchmarks.attachment superseding
python -m benchmarks.attachment lines
python -m benchmarks.attachment processor --nodes 50 --nodes 100
python -m benchmarks.attachment memory
"""

import asyncio
import random
import resource
import subprocess
import sys

import async_solipsism
from grpclib import server
import typer

from filbertglade import clock
from filbertglade.control import state
from filbertglade.inner import channels
from filbertglade.inner import commands_pb2
from filbertglade.inner import membership_pb2
from filbertglade.membership import announcements
from filbertglade.membership import attachment
from filbertglade.membership import membership_server
from filbertglade.membership import presence
from filbertglade.membership import routing_lines
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.settings import model

HOSTS_PER_GROUP = 4
ANNOUNCE_INTERVAL_MS = 500
RELAY_INTERVAL_MS = 250
WARM_UP_S = 5.0

app = typer.Typer(add_completion=False)


class SoleLeaderStub:
    """Stub of the replicated log of a single control host."""

    is_leader = True


def make_settings(name: str, port: int) -> model.NodeSettings:
    """Return the settings of a node in a cluster with one control host.

    :param name: the node's name.
    :param port: the control host's inner port.
    """
    address = f'127.0.0.1:{port}'
    host = model.ControlHostSettings('control', address, 'north')
    return model.NodeSettings(
        name=name,
        region='central',
        data_centre='north',
        listen=model.ListenSettings(address, address, address),
        control=model.ControlSettings([host]),
    )


def form_groups(agreed: state.AgreedState, count: int) -> None:
    """Commit serving groups.

    :param agreed: the agreed state.
    :param count: number of groups.
    """
    for number in range(count):
        group = f'writer-{number}'
        form = commands_pb2.GroupRecord(
            group=group,
            deployment=f'writer-{number % 10}',
            fabric_domain=f'fabric-{number % 5}',
            hosts=[
                f'host-{number * HOSTS_PER_GROUP + member}'
                for member in range(HOSTS_PER_GROUP)
            ],
        )
        epoch = agreed.applied_index + 1
        move = commands_pb2.GroupMove(
            group=group, epoch=epoch, phase=commands_pb2.SERVING
        )
        for change in (
            commands_pb2.GroupChange(form=form),
            commands_pb2.GroupChange(move=move),
        ):
            command = commands_pb2.Command(group_change=change)
            agreed.apply(agreed.applied_index + 1, command)


def make_form(
    host: int, sequence: int, rng: random.Random
) -> announcements.AnnouncementForm:
    """Return a host's announcement with a load that changes each time.

    :param host: the host's number.
    :param sequence: the announcement's sequence number.
    :param rng: random numbers for the load.
    """
    group = host // HOSTS_PER_GROUP
    load = announcements.LoadForm(
        slots=32,
        active=rng.randrange(32),
        queued=rng.randrange(8),
        first_token_ms=rng.randrange(200, 900),
        between_tokens_us=rng.randrange(15_000, 32_000),
    )
    return announcements.AnnouncementForm(
        host=f'host-{host}',
        run='0123456789abcdef0123456789abcdef',
        sequence=sequence,
        region='central',
        data_centre='north',
        fabric_domain=f'fabric-{group % 5}',
        address='10.20.30.40:8000',
        order_address='10.20.30.40:8001',
        group=f'writer-{group}',
        epoch=2 * group + 1,
        ready=True,
        load=load,
    )


async def _announce(
    inbox: announcements.AnnouncementInbox,
    host: int,
    interval_ms: int,
    rng: random.Random,
) -> None:
    sequence = 0
    await asyncio.sleep(rng.uniform(0, interval_ms / 1000))
    while True:
        sequence += 1
        inbox.accept(make_form(host, sequence, rng))
        await asyncio.sleep(interval_ms / 1000)


def run_in_virtual_time(coroutine: object) -> float:
    """Run a coroutine on an event loop with virtual time.

    :param coroutine: the coroutine.
    :returns: its result.
    """
    loop = async_solipsism.EventLoop()
    asyncio.set_event_loop(loop)
    try:
        result: float = loop.run_until_complete(coroutine)  # type: ignore
        return result
    finally:
        asyncio.set_event_loop(None)
        loop.close()


class CountingInbox(announcements.AnnouncementInbox):
    """Counts the bytes of all announcements, including superseded ones."""

    def __init__(self) -> None:
        super().__init__('run')
        self.all_bytes = 0

    def accept(self, form: announcements.AnnouncementForm) -> str:
        """Accept an announcement and count its bytes."""
        token = super().accept(form)
        message, _ = self._waiting[form.host]
        frame = membership_pb2.NodeFrame(announcements=[message])
        self.all_bytes += frame.ByteSize()
        return token


async def _measure_batches(
    hosts: int, interval_ms: int, batch_ms: int, duration_s: float
) -> tuple[float, float]:
    rng = random.Random(1)
    inbox = CountingInbox()
    tasks = [
        asyncio.create_task(_announce(inbox, host, interval_ms, rng))
        for host in range(hosts)
    ]
    sent_bytes = 0
    for _ in range(int(duration_s * 1000 / batch_ms)):
        await asyncio.sleep(batch_ms / 1000)
        frame = membership_pb2.NodeFrame(announcements=inbox.take())
        sent_bytes += frame.ByteSize()
    for task in tasks:
        task.cancel()
    return sent_bytes / duration_s, inbox.all_bytes / duration_s


@app.command()
def superseding(hosts: int = 17, duration_s: float = 20.0) -> None:
    """Measure bytes a second of announcements on an attachment.

    Compares batches of the newest announcement of each host with sending
    every announcement.

    :param hosts: number of hosts that announce to the node.
    :param duration_s: virtual duration of each measurement.
    """
    print('| announcement every | batch | newest only | every one | saved |')
    print('|---|---|---|---|---|')
    for interval_ms in (5, 50, 250, 500, 2000):
        for batch_ms in (50, 250, 1000):
            newest, every = run_in_virtual_time(  # type: ignore[misc]
                _measure_batches(hosts, interval_ms, batch_ms, duration_s)
            )
            print(
                f'| {interval_ms} ms | {batch_ms} ms | {newest:.0f} B/s | '
                f'{every:.0f} B/s | {100 * (1 - newest / every):.0f}% |'
            )


async def _measure_lines(
    hosts: int, batch_ms: int, duration_s: float
) -> tuple[float, float, float]:
    rng = random.Random(1)
    agreed = state.AgreedState()
    form_groups(agreed, hosts // HOSTS_PER_GROUP)
    table = presence.PresenceTable()
    inbox = announcements.AnnouncementInbox('run')
    tasks = [
        asyncio.create_task(_announce(inbox, host, ANNOUNCE_INTERVAL_MS, rng))
        for host in range(hosts)
    ]
    tables = routing_lines.LineTables(agreed, table, 4000)
    region = tables.open_region('central')
    version = sent_bytes = per_host_bytes = full_bytes = 0
    for step in range(int((WARM_UP_S + duration_s) * 1000 / batch_ms)):
        await asyncio.sleep(batch_ms / 1000)
        batch = inbox.take()
        for message in batch:
            table.note_host(message, 0)
        tables.refresh()
        frame = membership_pb2.ControlFrame()
        region.write(frame, version)
        version = region.version
        if step * batch_ms >= WARM_UP_S * 1000:
            sent_bytes += frame.ByteSize()
            full_frame = membership_pb2.ControlFrame()
            region.write(full_frame, 0)
            full_bytes += full_frame.ByteSize()
            for message in batch:
                host_frame = membership_pb2.NodeFrame(announcements=[message])
                per_host_bytes += host_frame.ByteSize()
    for task in tasks:
        task.cancel()
    return (
        sent_bytes / duration_s,
        full_bytes / duration_s,
        per_host_bytes / duration_s,
    )


@app.command(name='lines')
def measure_lines(duration_s: float = 20.0) -> None:
    """Measure bytes a second from a control host to a node.

    The load of every host changes with each announcement.

    :param duration_s: virtual duration of each measurement.
    """
    print('| hosts | groups | batch | changed | whole lines | by host |')
    print('|---|---|---|---|---|---|')
    for hosts in (100, 300, 600, 1200):
        for batch_ms in (RELAY_INTERVAL_MS, 500, 1000):
            sent, full, per_host = run_in_virtual_time(  # type: ignore[misc]
                _measure_lines(hosts, batch_ms, duration_s)
            )
            print(
                f'| {hosts} | {hosts // HOSTS_PER_GROUP} | {batch_ms} ms | '
                f'{sent:.0f} B/s | {full:.0f} B/s | {per_host:.0f} B/s |'
            )


@app.command()
def serve(groups: int) -> None:
    """Serve attachments as a control host.

    For each line on the standard input it prints its processor time in
    seconds and its peak memory in KiB.

    :param groups: number of serving groups.
    """
    asyncio.run(_serve(groups))


async def _serve(groups: int) -> None:
    agreed = state.AgreedState()
    form_groups(agreed, groups)
    membership = membership_server.MembershipServer(
        make_settings('control', 1),
        agreed,
        SoleLeaderStub(),  # type: ignore[arg-type]
        channels.SocketChannels(),
        metrics.Metrics(),
    )
    listener = server.Server([membership])
    await listener.start('127.0.0.1', 0)
    assert listener._server is not None
    port = listener._server.sockets[0].getsockname()[1]
    await membership.start()
    print(port, flush=True)
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, sys.stdin.readline):
        usage = resource.getrusage(resource.RUSAGE_SELF)
        print(usage.ru_utime + usage.ru_stime, usage.ru_maxrss, flush=True)


class ControlHostProcess:
    """A process that runs ``serve``.

    :param groups: number of serving groups.
    """

    def __init__(self, groups: int) -> None:
        self._process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'benchmarks.attachment',
                'serve',
                str(groups),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.port = int(self._read())

    def _read(self) -> str:
        assert self._process.stdout is not None
        return self._process.stdout.readline()

    def read_usage(self) -> tuple[float, int]:
        """Return processor time in seconds and peak memory in KiB."""
        assert self._process.stdin is not None
        self._process.stdin.write('\n')
        self._process.stdin.flush()
        processor_s, memory_kib = self._read().split()
        return float(processor_s), int(memory_kib)

    def close(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()


async def _attach(
    name: str, port: int, hosts: range, rng: random.Random
) -> tuple[attachment.Attachment, view.FleetView, list[asyncio.Task[None]]]:
    settings = make_settings(name, port)
    inbox = announcements.AnnouncementInbox(name)
    fleet = view.FleetView(settings)
    attached = attachment.Attachment(
        settings,
        name,
        inbox,
        fleet,
        channels.SocketChannels(),
        metrics.Metrics(),
    )
    await attached.start()
    tasks = [
        asyncio.create_task(_announce(inbox, host, ANNOUNCE_INTERVAL_MS, rng))
        for host in hosts
    ]
    return attached, fleet, tasks


def _processor_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def _measure_processor(
    nodes: int, groups: int, duration_s: float
) -> None:
    control = ControlHostProcess(groups)
    rng = random.Random(1)
    hosts = groups * HOSTS_PER_GROUP
    attached_nodes = []
    for number in range(nodes):
        node_hosts = range(
            hosts * number // nodes, hosts * (number + 1) // nodes
        )
        attached_node = await _attach(
            f'node-{number}', control.port, node_hosts, rng
        )
        attached_nodes.append(attached_node)
    await asyncio.sleep(WARM_UP_S)
    started_s, _ = control.read_usage()
    own_started_s = _processor_s()
    started_ms = clock.now_ms()
    await asyncio.sleep(duration_s)
    elapsed_s = (clock.now_ms() - started_ms) / 1000
    own_ms = 1000 * (_processor_s() - own_started_s) / elapsed_s
    ended_s, memory_kib = control.read_usage()
    control_ms = 1000 * (ended_s - started_s) / elapsed_s
    routed_groups = sum(
        len(fleet.list_groups(f'writer-{i}'))
        for _, fleet, _ in attached_nodes
        for i in range(10)
    )
    print(
        f'| {nodes} | {groups} | {control_ms:.0f} ms/s | '
        f'{control_ms / nodes:.2f} ms/s | {own_ms / nodes:.2f} ms/s | '
        f'{memory_kib / 1024:.0f} MiB | {routed_groups / nodes:.0f} |',
        flush=True,
    )
    control.close()
    for attached, _, tasks in attached_nodes:
        for task in tasks:
            task.cancel()
        await attached.close()


@app.command()
def processor(
    nodes: list[int] = typer.Option([50, 100, 200]),  # noqa: B008
    groups: list[int] = typer.Option([75]),  # noqa: B008
    duration_s: float = 10.0,
) -> None:
    """Measure processor time of a control host and its attached nodes.

    :param nodes: numbers of attached nodes, a row each.
    :param groups: numbers of serving groups, a row each.
    :param duration_s: duration of each measurement.
    """
    print(
        '| nodes | groups | control host | of it, a node | on the node '
        '| control host memory | groups routed to |'
    )
    print('|---|---|---|---|---|---|---|')
    for count in nodes:
        for group_count in groups:
            asyncio.run(_measure_processor(count, group_count, duration_s))


async def _measure_memory(hosts: int) -> tuple[float, float]:
    rng = random.Random(1)
    agreed = state.AgreedState()
    form_groups(agreed, hosts // HOSTS_PER_GROUP)
    inbox = announcements.AnnouncementInbox('run')
    table = presence.PresenceTable()
    start_kib = _resident_kib()
    for host in range(hosts):
        inbox.accept(make_form(host, 1, rng))
    for message in inbox.take():
        table.note_host(
            membership_pb2.Announcement.FromString(
                message.SerializeToString()
            ),
            0,
        )
    announced_kib = _resident_kib()
    tables = routing_lines.LineTables(agreed, table, 4000)
    region = tables.open_region('central')
    frame = membership_pb2.ControlFrame()
    region.write(frame, 0)
    lines_kib = _resident_kib()
    count = hosts // HOSTS_PER_GROUP
    return (announced_kib - start_kib) / hosts, (
        lines_kib - announced_kib
    ) / count


def _resident_kib() -> float:
    with open('/proc/self/statm') as statm:
        return int(statm.read().split()[1]) * resource.getpagesize() / 1024


@app.command()
def memory(hosts: int = 4800) -> None:
    """Measure a control host's memory for each host and each group.

    :param hosts: number of hosts that have announced themselves.
    """
    kib_per_host, kib_per_group = run_in_virtual_time(  # type: ignore[misc]
        _measure_memory(hosts)
    )
    print(f'{kib_per_host:.2f} KiB a host, {kib_per_group:.2f} KiB a group')


if __name__ == '__main__':
    app()
