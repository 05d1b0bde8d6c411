"""A document of many routes reaches all hosts over links of bounded rate.

The bounds come from the targets of the deployments: a host applies a document
within APPLY_S of its acknowledgement if the leader's link can carry a copy for
each host in that time; if not, within 1.5 times the time that it needs.
"""

import asyncio
import contextlib

import httpx
import pytest

from filbertglade.fleet import watcher
from tests.fleet import documents
from tests.fleet import fleet_hosts

WATCHERS = 20
CONTROL_BYTES_PER_S = 4_000_000
WATCHER_BYTES_PER_S = 1_000_000
# A copy for each watcher takes the leader's link 2 s.
DOCUMENT_BYTES = 400_000
# The same for 0.5 s, less than any time-out of a stream.
SHORT_DOCUMENT_BYTES = 100_000
# The same for 3 s, longer than any time-out of a stream.
LONG_DOCUMENT_BYTES = 600_000
APPLY_S = 2.5
COMMIT_S = 2.5
LINK_TIME_FACTOR = 1.5
LINK_BYTES_FACTOR = 1.3
# Longest time that a test waits for a document, whatever its bound.
WAIT_S = 20.0
CHANGE_INTERVAL_S = 0.25
LOG_FLUSH_S = 0.3


class Distribution:
    """What happens in a fleet from now on.

    :param fleet: the fleet.
    :ivar put_s: the loop's time of the acknowledgement from which delays are
        counted.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self._sent_bytes = {}
        self._attachments = {}
        self._put_usage = fleet_hosts.measure_usage()
        self.put_s = 0.0

    async def start(self, text):
        """Send a document, and measure from its acknowledgement on.

        :param text: its JSON text.
        """
        fleet = self.fleet
        self._attachments = self._count_attachments()
        self._sent_bytes = {
            control.name: await fleet.read_sent_bytes(control)
            for control in fleet.controls
        }
        await self.put(text)

    async def put(self, text):
        """Send a document, and count delays from its acknowledgement on.

        :param text: its JSON text.
        """
        self.put_s = await self.fleet.put(text)
        self._put_usage = fleet_hosts.measure_usage()

    def _count_attachments(self):
        return self.fleet.count_by_watcher('watcher.attached', 'watcher.left')

    async def read_sent_bytes(self, control):
        """Return what a control host has sent over its link since then."""
        sent_bytes = await self.fleet.read_sent_bytes(control)
        return sent_bytes - self._sent_bytes[control.name]

    async def count_losses(self):
        """Return how often a watcher left or attached again since then."""
        await asyncio.sleep(LOG_FLUSH_S)
        return (self._count_attachments() - self._attachments).total()

    def list_delays_s(self, version, watchers=None):
        """Return how long after the start each host got a version, sorted.

        Infinite if it did not. Less the time in which the process that the
        hosts share had no core to read their documents: in a deployment each
        host reads its own in a process of its own.
        """
        return sorted(
            self._find_delay_s(host, version)
            for host in watchers or self.fleet.watchers
        )

    def _find_delay_s(self, host, version):
        seen_s = host.find_time_of(version)
        if seen_s is None:
            return float('inf')
        waited_s = self.fleet.readings.find_wait_s(
            host.indexes[version], self._put_usage
        )
        return seen_s - self.put_s - waited_s


def describe(delays_s, losses):
    """Return the figures of a distribution for a failed assertion."""
    received = [delay_s for delay_s in delays_s if delay_s != float('inf')]
    last = f'{received[-1]:.2f} s' if received else 'never'
    return (
        f'{len(received)} of {len(delays_s)} hosts have it, the last after '
        f'{last}; {losses} attachments and departures'
    )


def count_elections(fleet):
    return sum(
        control.count_events('leader.elected') for control in fleet.controls
    )


def build_fleet(folder, **options):
    return fleet_hosts.Fleet(
        folder, WATCHERS, CONTROL_BYTES_PER_S, WATCHER_BYTES_PER_S, **options
    )


def get_link_time_s(text, copies=WATCHERS):
    """Return the time that a control host's link needs for some copies."""
    return copies * len(text) / CONTROL_BYTES_PER_S


async def check_distribution(fleet, distribution, version, text, bound_s):
    """Check that all hosts get a version in time, with one copy for each."""
    await fleet.wait_for_version(version, WAIT_S)
    sent_bytes = await distribution.read_sent_bytes(await fleet.find_leader())
    losses = await distribution.count_losses()
    delays_s = distribution.list_delays_s(version)
    figures = describe(delays_s, losses)
    figures += f'; {sent_bytes / len(text):.1f} copies sent'
    print(figures)
    assert losses == 0, figures
    assert delays_s[-1] <= bound_s, figures
    assert sent_bytes <= LINK_BYTES_FACTOR * WATCHERS * len(text), figures


# Guards against documents that are slow on links which could carry them.
async def test_small_document_reaches_all_hosts_in_time(tmp_path):
    text = documents.write_random(2, SHORT_DOCUMENT_BYTES)
    async with build_fleet(tmp_path) as fleet:
        distribution = Distribution(fleet)
        await distribution.start(text)
        await check_distribution(fleet, distribution, 2, text, APPLY_S)


# Guards against watchers that drop a large document on a full link, lose the
# leader and ask for the whole document again.
@pytest.mark.parametrize(
    'write', [documents.write_random, documents.write_routes]
)
async def test_large_document_reaches_all_hosts_in_time(tmp_path, write):
    text = write(2, DOCUMENT_BYTES)
    assert get_link_time_s(text) <= APPLY_S
    async with build_fleet(tmp_path) as fleet:
        distribution = Distribution(fleet)
        await distribution.start(text)
        await check_distribution(fleet, distribution, 2, text, APPLY_S)


# Guards against a document that can never arrive because its copies need the
# link for longer than a watcher waits for a frame.
async def test_document_longer_on_the_link_than_time_outs_arrives(tmp_path):
    text = documents.write_random(2, LONG_DOCUMENT_BYTES)
    async with build_fleet(tmp_path) as fleet:
        distribution = Distribution(fleet)
        await distribution.start(text)
        await check_distribution(
            fleet,
            distribution,
            2,
            text,
            LINK_TIME_FACTOR * get_link_time_s(text),
        )


# Guards against frames with changes of endpoints that wait behind documents.
async def test_changes_arrive_while_a_document_is_distributed(tmp_path):
    text = documents.write_random(2, LONG_DOCUMENT_BYTES)
    link_time_s = get_link_time_s(text)
    limit_s = watcher.LEADER_TIMEOUT_MS / 1000
    async with build_fleet(tmp_path) as fleet:
        distribution = Distribution(fleet)
        await distribution.start(text)
        announced_s = {}
        while not announced_s or (
            max(announced_s.values()) < distribution.put_s + link_time_s
        ):
            endpoint_id = f'i-{len(announced_s)}'
            announced_s[endpoint_id] = await fleet.announce(endpoint_id)
            await asyncio.sleep(CHANGE_INTERVAL_S)
        await asyncio.sleep(limit_s)
        late = sorted(
            (host.endpoints.get(endpoint_id, float('inf')) - at_s, host.name)
            for host in fleet.watchers
            for endpoint_id, at_s in announced_s.items()
            if host.endpoints.get(endpoint_id, float('inf')) - at_s > limit_s
        )
        total = WATCHERS * len(announced_s)
        figures = f'{len(late)} of {total} changes later than {limit_s} s'
        print(figures)
        assert not late, f'{figures}: {late[-5:]}'


# Guards against a newer document that waits for the end of an older one, and
# against hosts that go back to the older one.
async def test_document_during_the_distribution_of_another_one(tmp_path):
    older = documents.write_random(2, DOCUMENT_BYTES)
    newer = documents.write_random(3, DOCUMENT_BYTES)
    bound_s = LINK_TIME_FACTOR * (
        get_link_time_s(older) + get_link_time_s(newer)
    )
    async with build_fleet(tmp_path) as fleet:
        distribution = Distribution(fleet)
        await distribution.start(older)
        await asyncio.sleep(get_link_time_s(older) / 4)
        await distribution.put(newer)
        await fleet.wait_for_version(3, WAIT_S)
        losses = await distribution.count_losses()
        delays_s = distribution.list_delays_s(3)
        figures = describe(delays_s, losses)
        print(figures)
        for host in fleet.watchers:
            versions = [version for version, _ in host.versions]
            assert versions == sorted(versions), host.name
        assert delays_s[-1] <= bound_s, figures
        assert losses == 0, figures


# Guards against a host behind a slow link that delays the others, or that
# never gets a document because its time-outs are shorter than its link needs.
async def test_host_behind_a_slow_link_delays_no_other_host(tmp_path):
    text = documents.write_random(2, DOCUMENT_BYTES)
    slow_bytes_per_s = WATCHER_BYTES_PER_S / 10
    slow_bound_s = LINK_TIME_FACTOR * len(text) / slow_bytes_per_s
    async with build_fleet(
        tmp_path, slow_rates={0: slow_bytes_per_s}
    ) as fleet:
        distribution = Distribution(fleet)
        await distribution.start(text)
        await fleet.wait_for_version(2, WAIT_S)
        losses = await distribution.count_losses()
        slow_s = distribution.list_delays_s(2, fleet.watchers[:1])
        others_s = distribution.list_delays_s(2, fleet.watchers[1:])
        figures = f'{describe(others_s, losses)}; slow host: {slow_s}'
        print(figures)
        assert others_s[-1] <= APPLY_S, figures
        assert slow_s[0] <= slow_bound_s, figures
        assert losses == 0, figures


# Guards against appends that wait behind documents on the leader's link: the
# leader lost its quorum and the next document was never acknowledged.
async def test_leader_commits_while_it_distributes_a_document(tmp_path):
    text = documents.write_random(2, DOCUMENT_BYTES)
    next_text = documents.write_random(3, DOCUMENT_BYTES)
    async with build_fleet(tmp_path, control_hosts=3) as fleet:
        leader = await fleet.find_leader()
        elections = count_elections(fleet)
        distribution = Distribution(fleet)
        await distribution.start(text)
        commit_s = float('inf')
        with contextlib.suppress(httpx.HTTPError):
            commit_s = await fleet.put(next_text) - distribution.put_s
        await fleet.wait_for_version(3, WAIT_S)
        losses = await distribution.count_losses()
        new_elections = count_elections(fleet) - elections
        figures = describe(distribution.list_delays_s(3), losses)
        figures += (
            f'; commit after {commit_s:.2f} s; {new_elections} elections'
        )
        print(figures)
        assert leader.count_events('leader.stepped_down') == 0, figures
        assert new_elections == 0, figures
        assert commit_s <= COMMIT_S, figures
        assert losses == 0, figures


async def measure_growth(folder, watchers, text):
    """Return how much a leader's memory grows while it has a new document.

    :param watchers: number of watching hosts.
    :returns: the growth of its resident memory at the peak, in bytes.
    """
    folder.mkdir()
    async with fleet_hosts.Fleet(
        folder, watchers, CONTROL_BYTES_PER_S, WATCHER_BYTES_PER_S
    ) as fleet:
        leader = await fleet.find_leader()
        before_bytes = peak_bytes = leader.resident_bytes
        distribution = Distribution(fleet)
        await distribution.start(text)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + LINK_TIME_FACTOR * get_link_time_s(text)
        while loop.time() < end_s:
            peak_bytes = max(peak_bytes, leader.resident_bytes)
            await asyncio.sleep(fleet_hosts.POLL_S)
        return peak_bytes - before_bytes


# Guards against a copy of the document in the leader's memory for each host.
async def test_leader_holds_few_copies_of_a_document(tmp_path):
    text = documents.write_random(2, LONG_DOCUMENT_BYTES)
    alone_bytes = await measure_growth(tmp_path / 'alone', 0, text)
    with_watchers_bytes = await measure_growth(
        tmp_path / 'watched', WATCHERS, text
    )
    copies = (with_watchers_bytes - alone_bytes) / len(text)
    figures = (
        f'{copies:.1f} copies; growth {alone_bytes} bytes alone, '
        f'{with_watchers_bytes} with {WATCHERS} hosts'
    )
    print(figures)
    assert copies < WATCHERS / 2, figures
