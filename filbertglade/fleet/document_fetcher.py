"""Fetches the routing document from the control hosts."""

import asyncio
from collections import abc
import hashlib
import random

from grpclib import client

from filbertglade import clock
from filbertglade import document_versions
from filbertglade.fleet import document
from filbertglade.fleet import view
from filbertglade.inner import channels
from filbertglade.inner import fleet_grpc
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade import packing
from filbertglade import tasks

log = logs.get_log(__name__)

# Longest wait for the next part, in ms: three times the interval at which a
# control host says that the transfer waits for its turn.
PART_TIMEOUT_MS = 1200
# Longest wait for the first reply of a control host, in ms: a host replies at
# once, and another one may hold the document. It doubles once all were tried.
FIRST_REPLY_TIMEOUT_MS = 250
# Bounds of the pause before the next try, in ms. It doubles with each failure
# and is randomised, so that many nodes don't return at the same moment.
MIN_PAUSE_MS = 20
MAX_PAUSE_MS = 1000

Stream = client.Stream[fleet_pb2.DocumentRequest, fleet_pb2.DocumentPart]


class Download:
    """What has been received of a document.

    It outlives a broken transfer, and the next one, from any control host,
    goes on where it ended.

    :ivar version: the document's version; without meaning before the first
        part.
    :ivar digest: digest of the packed text; empty before the first part.
    """

    def __init__(self) -> None:
        self.version = 0
        self.digest = b''
        self._total_bytes = 0
        self._data = bytearray()

    @property
    def received_bytes(self) -> int:
        """Number of bytes received so far."""
        return len(self._data)

    @property
    def is_complete(self) -> bool:
        """Whether all bytes have been received."""
        return bool(self._total_bytes) and (
            len(self._data) == self._total_bytes
        )

    def add(self, part: fleet_pb2.DocumentPart) -> bool:
        """Add a part.

        :param part: a part with data. The first part of another document
            discards what was received of the previous one.
        :returns: False if the part doesn't follow the ones before it.
        """
        if part.digest != self.digest:
            self.discard()
            self.version = part.version
            self.digest = part.digest
            self._total_bytes = part.total_bytes
        if part.offset != len(self._data):
            return False
        self._data += part.data
        return True

    def unpack(self) -> bytes | None:
        """Return the complete document's text; None if it is damaged."""
        packed_text = bytes(self._data)
        if hashlib.sha256(packed_text).digest() != self.digest:
            return None
        return packing.unpack(packed_text, document.MAX_DOCUMENT_BYTES)

    def discard(self) -> None:
        """Forget what was received."""
        self.version = 0
        self.digest = b''
        self._total_bytes = 0
        self._data = bytearray()


class DocumentFetcher:
    """Keeps the document in force at the version that the leader announces.

    :param fleet_view: the node's view, in which documents are put in force.
    :param list_hosts: returns the addresses of the control hosts.
    :param find_leader: returns the leader's address; empty if unknown.
    :param channel_factory: opens channels to control hosts.
    :param counters: the process's metrics.
    :param rng: the process's random number generator.
    """

    def __init__(
        self,
        fleet_view: view.FleetView,
        list_hosts: abc.Callable[[], list[str]],
        find_leader: abc.Callable[[], str],
        channel_factory: channels.ChannelFactory,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._view = fleet_view
        self._list_hosts = list_hosts
        self._find_leader = find_leader
        # Control hosts that sent nothing at the latest try.
        self._silent_hosts: set[str] = set()
        self._channels = channel_factory
        self._counters = counters
        self._rng = rng
        self._tasks = tasks.TaskGroup()
        self._announced = asyncio.Event()
        self._download = Download()
        # A document that this node can't read isn't fetched again.
        self._unreadable_version: int | None = None
        fleet_view.add_listener(self._announced.set)

    def start(self) -> None:
        """Start to fetch documents as they are announced."""
        self._tasks.keep_running(
            'fleet.fetch_documents', self._run, self._counters
        )

    async def close(self) -> None:
        """Stop fetching."""
        await self._tasks.close()

    @property
    def _is_fetch_due(self) -> bool:
        announced_version = self._view.announced_version
        return all(
            document_versions.is_newer(announced_version, known_version)
            for known_version in (self._view.version, self._unreadable_version)
        )

    async def _run(self) -> None:
        while True:
            await self._announced.wait()
            self._announced.clear()
            try:
                await self._fetch_until_held()
            except Exception as error:
                # An unexpected error ends one try, but not the fetching.
                log.error('document.fetch_failed', error=error)
                await asyncio.sleep(MAX_PAUSE_MS / 1000)
                self._announced.set()

    async def _fetch_until_held(self) -> None:
        """Try the control hosts one after the other until one has sent it."""
        started_ms = clock.now_ms()
        tries = rounds = 0
        hosts: list[str] = []
        while self._is_fetch_due:
            if not hosts:
                hosts = self._order_hosts()
                rounds += 1
            tries += 1
            if hosts:
                reply_timeout_ms = min(
                    PART_TIMEOUT_MS,
                    FIRST_REPLY_TIMEOUT_MS * 2 ** min(rounds - 1, 16),
                )
                await self._fetch(hosts.pop(0), reply_timeout_ms)
            if self._download.is_complete:
                await self._put_in_force(clock.now_ms() - started_ms, tries)
                tries = 0
            if self._is_fetch_due:
                await asyncio.sleep(self._find_pause_s(tries))

    def _order_hosts(self) -> list[str]:
        """Return the control hosts in the order in which they are tried.

        The order is random, so that they share the work, but the leader, which
        has most to send, comes after the others, and silent hosts are last.
        """
        hosts = self._list_hosts()
        self._rng.shuffle(hosts)
        leader = self._find_leader()
        hosts.sort(
            key=lambda host: (host in self._silent_hosts, host == leader)
        )
        return hosts

    def _find_pause_s(self, tries: int) -> float:
        longest_ms = min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** min(tries, 16))
        return self._rng.uniform(MIN_PAUSE_MS, longest_ms) / 1000

    async def _fetch(self, host: str, reply_timeout_ms: int) -> None:
        channel = self._channels.open_channel(host)
        started_bytes = self._download.received_bytes
        self._silent_hosts.add(host)
        reason = 'not held'
        try:
            stub = fleet_grpc.DocumentsStub(channel)
            async with stub.Fetch.open() as stream:
                async with asyncio.timeout(reply_timeout_ms / 1000):
                    await stream.send_message(self._build_request(), end=True)
                    part = await stream.recv_message()
                self._silent_hosts.discard(host)
                reason = await self._receive(stream, part)
        except channels.STREAM_ERRORS as error:
            reason = f'{type(error).__name__}: {error}'
        finally:
            channel.close()
        if not self._download.is_complete:
            self._counters.count('document_fetch_failures')
            log.change(
                'document.not_fetched',
                host=host,
                reason=reason,
                announced=self._view.announced_version,
                version=self._view.version,
                bytes_before=started_bytes,
                bytes=self._download.received_bytes,
            )

    def _build_request(self) -> fleet_pb2.DocumentRequest:
        return fleet_pb2.DocumentRequest(
            least_version=self._view.announced_version,
            digest=self._download.digest,
            offset=self._download.received_bytes,
        )

    async def _receive(
        self, stream: Stream, part: fleet_pb2.DocumentPart | None
    ) -> str:
        """Receive parts until the document is complete.

        Each part, even one without data, shows that the transfer is alive.

        :param part: the first part.
        :returns: how the transfer ended.
        """
        while part is not None:
            if part.digest and not self._download.add(part):
                self._download.discard()
                return 'a part is missing'
            if self._download.is_complete:
                return 'complete'
            async with asyncio.timeout(PART_TIMEOUT_MS / 1000):
                part = await stream.recv_message()
        return 'ended'

    async def _put_in_force(self, lasted_ms: int, tries: int) -> None:
        version = self._download.version
        text = await asyncio.to_thread(self._download.unpack)
        size_bytes = self._download.received_bytes
        self._download.discard()
        if text is None:
            log.error('document.damaged', version=version)
            return
        log.change(
            'document.fetched',
            version=version,
            bytes=size_bytes,
            lasted_ms=lasted_ms,
            tries=tries,
        )
        self._counters.record_ms('document_fetch', lasted_ms)
        index = await document.read_in_turn(document.read_index, version, text)
        if index is None:
            self._unreadable_version = version
        else:
            self._view.put_in_force(index)
