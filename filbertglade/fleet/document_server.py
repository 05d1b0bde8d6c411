"""Sends the routing document to the nodes that fetch it."""

import asyncio
import hashlib

from grpclib import server

from filbertglade import clock
from filbertglade.control import state
from filbertglade.fleet import turns
from filbertglade.inner import channels
from filbertglade.inner import fleet_grpc
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

# Size of one part, in bytes: on a slow or busy link one part must arrive well
# before its receiver gives up.
PART_BYTES = 16_384
# Transfers that send at the same time: few of them use memory, and each is
# complete earlier than if all shared the link.
MAX_ACTIVE_TRANSFERS = 8
# How long a transfer keeps its turn while others wait, in ms: most are
# complete by then, so that few are under way and hold buffers.
TURN_MS = 1000
# How long one part may take before its transfer loses the turn, in ms: a slow
# receiver must not hold up the others.
SLOW_PART_MS = 250
# Interval between two parts without data while a transfer waits for its turn,
# in ms: a third of the time after which the receiver gives up.
WAITING_NOTE_INTERVAL_MS = 400
# Longest time for a part to be taken by the connection, in ms.
PART_TIMEOUT_MS = 10_000
# How long a request waits for a version that this host hasn't applied yet, in
# ms: a follower learns of a commit with the leader's next message.
APPLY_WAIT_MS = 400

Stream = server.Stream[fleet_pb2.DocumentRequest, fleet_pb2.DocumentPart]


class DocumentServer(fleet_grpc.DocumentsBase):
    """Sends the newest document that this control host has applied.

    Every control host sends documents, apart from the streams by which nodes
    watch the leader, so that their size delays no other message.

    :param agreed: the agreed state.
    :param counters: the process's metrics.
    """

    def __init__(
        self, agreed: state.AgreedState, counters: metrics.Metrics
    ) -> None:
        self._agreed = agreed
        self._counters = counters
        self._turns = turns.Turns(MAX_ACTIVE_TRANSFERS, TURN_MS, SLOW_PART_MS)
        self._applied_events: set[asyncio.Event] = set()
        self._digests: dict[int, bytes] = {}
        agreed.add_listener(lambda command: self._wake_requests())

    def _wake_requests(self) -> None:
        for applied_event in self._applied_events:
            applied_event.set()

    async def Fetch(self, stream: Stream) -> None:  # noqa: N802
        """Send the newest document, from where the receiver left off.

        :param stream: the receiver's request, and the parts.
        """
        request = await stream.recv_message()
        if request is None:
            return
        # Tells the receiver that this host is alive.
        await stream.send_message(fleet_pb2.DocumentPart())
        if not await self._wait_for_version(request.least_version):
            log.change(
                'document.not_held',
                requested=request.least_version,
                version=self._agreed.document.version,
            )
            return
        turn = turns.Turn(self._turns)
        transfer = _Transfer(stream, turn, self._counters)
        started_ms = clock.now_ms()
        reason = 'complete'
        try:
            await transfer.wait_for_turn()
            # The newest now, not the newest at the time of the request.
            current = self._agreed.document.current
            assert current is not None
            digest = self._find_digest(current.version, current.packed_text)
            offset = request.offset if request.digest == digest else 0
            await transfer.send(
                current.version, digest, current.packed_text, offset
            )
        except channels.STREAM_ERRORS as error:
            reason = f'{type(error).__name__}: {error}'
        finally:
            turn.give_up()
            log.change(
                'document.sent',
                version=transfer.version,
                bytes=transfer.sent_bytes,
                reason=reason,
                waited_ms=transfer.waited_ms,
                lasted_ms=clock.now_ms() - started_ms,
            )

    async def _wait_for_version(self, least_version: int) -> bool:
        """Return whether this host holds a version, or has it soon."""
        applied_event = asyncio.Event()
        self._applied_events.add(applied_event)
        try:
            async with asyncio.timeout(APPLY_WAIT_MS / 1000):
                while not self._holds(least_version):
                    await applied_event.wait()
                    applied_event.clear()
        except TimeoutError:
            return False
        finally:
            self._applied_events.discard(applied_event)
        return True

    def _holds(self, least_version: int) -> bool:
        version = self._agreed.document.version
        return version is not None and version >= least_version

    def _find_digest(self, version: int, packed_text: bytes) -> bytes:
        """Return the digest, which is calculated once for a version."""
        digest = self._digests.get(version)
        if digest is None:
            digest = hashlib.sha256(packed_text).digest()
            self._digests = {version: digest}
        return digest


class _Transfer:
    """One document on its way to one receiver.

    :ivar version: the version being sent; None before its first part.
    :ivar sent_bytes: bytes sent so far.
    :ivar waited_ms: time spent waiting for turns.
    """

    def __init__(
        self, stream: Stream, turn: turns.Turn, counters: metrics.Metrics
    ) -> None:
        self._stream = stream
        self._turn = turn
        self._counters = counters
        self.version: int | None = None
        self.sent_bytes = 0
        self.waited_ms = 0

    async def wait_for_turn(self) -> None:
        """Take a turn; tell the receiver in the meantime that it waits."""
        began_ms = clock.now_ms()
        while not await self._turn.take(WAITING_NOTE_INTERVAL_MS):
            await self._send_part(fleet_pb2.DocumentPart())
        self.waited_ms += clock.now_ms() - began_ms

    async def send(
        self, version: int, digest: bytes, packed_text: bytes, offset: int
    ) -> None:
        """Send a document in parts.

        :param version: its version.
        :param digest: digest of its packed text.
        :param packed_text: the packed text.
        :param offset: where to begin, in bytes.
        """
        self.version = version
        for start in range(offset, len(packed_text), PART_BYTES):
            if self._turn.is_over:
                await self.wait_for_turn()
            data = packed_text[start : start + PART_BYTES]
            await self._send_part(
                fleet_pb2.DocumentPart(
                    version=version,
                    digest=digest,
                    total_bytes=len(packed_text),
                    offset=start,
                    data=data,
                )
            )
            self.sent_bytes += len(data)
            self._counters.count(
                'inner_bytes_sent', len(data), content='document'
            )

    async def _send_part(self, part: fleet_pb2.DocumentPart) -> None:
        await self._turn.run(self._stream.send_message(part), PART_TIMEOUT_MS)
