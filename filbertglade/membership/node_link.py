"""A control host's side of one node's attachment."""

import asyncio

from grpclib import server

from filbertglade.control import state
from filbertglade.inner import membership_pb2
from filbertglade.membership import configuration_freshness
from filbertglade.membership import customer_shares
from filbertglade.membership import document_parts
from filbertglade.membership import frame_age
from filbertglade.membership import reported_state
from filbertglade.membership import routing_lines
from filbertglade.membership import stream_errors
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.settings import model

log = logs.get_log(__name__)

STRIKES_PER_FRAME = 32
CACHE_EVENTS_PER_FRAME = 16

Stream = server.Stream[membership_pb2.NodeFrame, membership_pb2.ControlFrame]


class NodeSource:
    """The data that a control host sends to the nodes attached to it.

    :param settings: the node's settings.
    :param agreed: the agreed state.
    :param reported: what hosts and nodes reported.
    :param freshness: tracks whether the local configuration is the newest.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        reported: reported_state.ReportedState,
        freshness: configuration_freshness.ConfigurationFreshness,
        counters: metrics.Metrics,
    ) -> None:
        self.settings = settings
        self.agreed = agreed
        self.reported = reported
        self.freshness = freshness
        self.counters = counters
        limit_ms = settings.timings.presence_limit_ms
        self.line_tables = routing_lines.LineTables(
            agreed, reported.presence, limit_ms
        )
        self.shares = customer_shares.ShareTable()
        self.documents = document_parts.DocumentCache(agreed)

    def refresh(self) -> None:
        """Rebuild lines and shares from the reports, once for all nodes."""
        limit_ms = self.settings.timings.presence_limit_ms
        self.line_tables.refresh()
        self.shares.refresh(
            seen.report for seen in self.reported.presence.list_nodes(limit_ms)
        )


class NodeLink:
    """Serves one node's stream.

    :param source: the data to send.
    :param stream: the node's stream.
    """

    def __init__(self, source: NodeSource, stream: Stream) -> None:
        self._source = source
        self._stream = stream
        self._age_bound = frame_age.FrameAgeBound()
        self._node = ''
        self._parts = document_parts.PartWriter(source.documents)
        self._version = 0
        self._strikes_read = 0
        self._cache_events_read = source.reported.cache_events.end
        self._first_frame = asyncio.Event()

    async def run(self) -> None:
        """Serve the node until its stream ends or falls silent."""
        sender = asyncio.get_running_loop().create_task(self._send_frames())
        try:
            await self._receive_frames(sender)
        except TimeoutError:
            log.change('node.silent', peer=self._node)
        finally:
            sender.cancel()
            await asyncio.wait([sender])

    async def _receive_frames(self, sender: asyncio.Task[None]) -> None:
        timings = self._source.settings.timings
        while not sender.done():
            # asyncio.wait_for would swallow a cancellation that comes together
            # with a frame.
            async with asyncio.timeout(timings.presence_limit_ms / 1000):
                frame = await self._stream.recv_message()
            if frame is None:
                return
            self._handle_frame(frame)

    def _handle_frame(self, frame: membership_pb2.NodeFrame) -> None:
        self._source.counters.count('node_frames_received')
        self._parts.note_frame(frame)
        self._node = frame.report.node
        age_ms = self._age_bound.observe(frame.clock)
        if age_ms is not None:
            self._source.reported.take_node_frame(frame, age_ms)
        self._region = frame.report.region
        self._first_frame.set()

    async def _send_frames(self) -> None:
        timings = self._source.settings.timings
        await self._first_frame.wait()
        region_table = self._source.line_tables.open_region(self._region)
        writer = customer_shares.ShareWriter(self._source.shares, self._node)
        trigger = self._source.reported.send_trigger
        while True:
            seen_count = trigger.count
            frame = self._build_frame(region_table, writer)
            try:
                async with asyncio.timeout(timings.presence_limit_ms / 1000):
                    await self._stream.send_message(frame)
            except stream_errors.StreamErrors:
                return
            if not self._parts.is_part_due:
                await trigger.wait(timings.relay_ms / 1000, seen_count)

    def _build_frame(
        self,
        region_table: routing_lines.RegionLineTable,
        writer: customer_shares.ShareWriter,
    ) -> membership_pb2.ControlFrame:
        frame = membership_pb2.ControlFrame(clock=self._age_bound.stamp())
        self._write_configuration(frame)
        evacuations = self._source.agreed.evacuations
        frame.evacuated_data_centres.extend(evacuations.names)
        frame.evacuations_index = evacuations.changed_index
        region_table.write(frame, self._version)
        self._version = region_table.version
        writer.write(frame)
        self._write_events(frame)
        return frame

    def _write_configuration(self, frame: membership_pb2.ControlFrame) -> None:
        leader_age_ms = self._source.freshness.age_ms()
        if leader_age_ms is not None:
            frame.leader_known = True
            frame.leader_age_ms = leader_age_ms
        frame.configuration_number = self._source.documents.number
        self._parts.write(frame)

    def _write_events(self, frame: membership_pb2.ControlFrame) -> None:
        reported = self._source.reported
        for strike in reported.strikes.read_after(
            self._strikes_read, STRIKES_PER_FRAME
        ):
            frame.strikes.append(strike.message)
            frame.strikes[-1].age_ms = strike.age_ms
            self._strikes_read = strike.position
        for event in reported.cache_events.read_after(
            self._cache_events_read, CACHE_EVENTS_PER_FRAME
        ):
            frame.cache_events.append(event.message)
            self._cache_events_read = event.position
