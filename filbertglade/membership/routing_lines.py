"""Lines about groups and workers, as a control host gives them to nodes.

The lines are built once an interval for all nodes of a region. A line is sent
whole when it is new or has changed; else its load alone if that has changed;
else it is covered by the age that a frame's lines share.
"""

import dataclasses

from filbertglade import clock
from filbertglade.control import state
from filbertglade.inner import commands_pb2
from filbertglade.inner import membership_pb2
from filbertglade.membership import presence

# Readers are told that a line is gone for so many versions of a book; one
# that takes nothing in for longer has lost its stream.
GONE_VERSIONS = 200

Line = membership_pb2.GroupLine | membership_pb2.WorkerLine


@dataclasses.dataclass(slots=True)
class BuiltLine:
    """A line at the time it was built.

    :param key: names the line among all others.
    :param line: the line, with neither age, load nor number.
    :param load: its load.
    :param proven_ms: local clock less its proven age.
    """

    key: str
    line: Line
    load: membership_pb2.Load
    proven_ms: int

    @property
    def needs_age(self) -> bool:
        """Whether its age says anything; not for an incomplete group."""
        return not isinstance(self.line, membership_pb2.GroupLine) or (
            self.line.complete
        )


def build_group_line(
    record: commands_pb2.GroupRecord, seen: presence.PresenceTable
) -> BuiltLine:
    """Condense a group's hosts to one line.

    :param record: the group.
    :param seen: what is known of hosts.
    """
    line = membership_pb2.GroupLine(
        group=record.group,
        epoch=record.epoch,
        deployment=record.deployment,
        fabric_domain=record.fabric_domain,
        hosts=record.hosts,
        complete=True,
    )
    load = membership_pb2.Load()
    proven_ms = clock.now_ms()
    for position, name in enumerate(record.hosts):
        host = seen.hosts.get(name)
        if (
            host is None
            or host.is_lost
            or not host.serves(record.group, record.epoch)
        ):
            line.complete = False
            continue
        proven_ms = min(proven_ms, host.proven_ms)
        if position == 0:
            announcement = host.announcement
            line.run = announcement.run
            line.address = announcement.address
            line.region = announcement.region
            line.data_centre = announcement.data_centre
            load = announcement.load
    return BuiltLine(f'group/{record.group}', line, load, proven_ms)


def build_worker_line(host: presence.SeenHost) -> BuiltLine:
    """Return the line of a plain service's worker.

    :param host: the worker's host.
    """
    announcement = host.announcement
    line = membership_pb2.WorkerLine(
        host=announcement.host,
        run=announcement.run,
        service=announcement.service,
        region=announcement.region,
        data_centre=announcement.data_centre,
        address=announcement.address,
        leaving=announcement.leaving,
    )
    return BuiltLine(
        f'worker/{announcement.host}', line, announcement.load, host.proven_ms
    )


@dataclasses.dataclass(slots=True)
class LineEntry:
    """A line in a region's book.

    :param number: stands for it in frames.
    :param built: the line.
    :param line_version: version of the book at its last change.
    :param load_version: version of the book at its load's last change.
    """

    number: int
    built: BuiltLine
    line_version: int
    load_version: int


class RegionLineTable:
    """The lines that the nodes of one region route by."""

    def __init__(self, limit_ms: int) -> None:
        """Begin with no lines.

        :param limit_ms: proven age at which a host counts as absent.
        """
        self._limit_ms = limit_ms
        self.version = 0
        self._lines: dict[str, LineEntry] = {}
        self._gone: dict[int, int] = {}
        self._next_number = 1
        self._aged: list[LineEntry] = []
        self._shared_proven_ms = 0

    def refresh(self, built: list[BuiltLine]) -> None:
        """Replace the lines by newly built ones.

        :param built: all lines that stand.
        """
        self.version += 1
        self._forget_gone()
        keys = {item.key for item in built}
        for key in [key for key in self._lines if key not in keys]:
            self._gone[self._lines.pop(key).number] = self.version
        for item in built:
            self._note(item)
        self._share_age()

    def _share_age(self) -> None:
        """Find the age that most lines share; the rest are named.

        Those of hosts that have fallen silent are named however many they
        are, or they would age all others.
        """
        by_age = sorted(
            (item for item in self._lines.values() if item.built.needs_age),
            key=lambda item: item.built.proven_ms,
        )
        silent_ms = clock.now_ms() - self._limit_ms // 2
        silent_count = sum(item.built.proven_ms < silent_ms for item in by_age)
        aged_count = max(len(by_age) // 10, silent_count)
        self._aged = by_age[:aged_count]
        self._shared_proven_ms = (
            by_age[aged_count].built.proven_ms
            if aged_count < len(by_age)
            else clock.now_ms()
        )

    def _forget_gone(self) -> None:
        oldest = self.version - GONE_VERSIONS
        for number in [n for n, at in self._gone.items() if at < oldest]:
            del self._gone[number]

    def _note(self, built: BuiltLine) -> None:
        entry = self._lines.get(built.key)
        if entry is None:
            number = self._next_number
            self._next_number += 1
            self._lines[built.key] = LineEntry(
                number, built, self.version, self.version
            )
            return
        if entry.built.line != built.line:
            entry.line_version = self.version
        if entry.built.load != built.load:
            entry.load_version = self.version
        entry.built = built

    def write(self, frame: membership_pb2.ControlFrame, version: int) -> None:
        """Write what a reader doesn't know yet.

        :param frame: the frame to fill.
        :param version: the book's version that the reader has; 0 for none.
        """
        now_ms = clock.now_ms()
        for entry in self._lines.values():
            self._write_line(frame, entry, version, now_ms)
        for entry in self._aged:
            age_ms = now_ms - entry.built.proven_ms
            frame.aged.add(number=entry.number, age_ms=age_ms)
        frame.shared_age_ms = now_ms - self._shared_proven_ms
        frame.gone.extend(n for n, at in self._gone.items() if at > version)

    def _write_line(
        self,
        frame: membership_pb2.ControlFrame,
        entry: LineEntry,
        version: int,
        now_ms: int,
    ) -> None:
        built = entry.built
        if entry.line_version > version:
            line = _add_line(frame, built.line)
            line.load.CopyFrom(built.load)
            line.number = entry.number
            line.age_ms = now_ms - built.proven_ms
        elif entry.load_version > version:
            frame.loads.add(number=entry.number, load=built.load)


def _add_line(frame: membership_pb2.ControlFrame, line: Line) -> Line:
    if isinstance(line, membership_pb2.GroupLine):
        frame.groups.append(line)
        return frame.groups[-1]
    frame.workers.append(line)
    return frame.workers[-1]


class LineTables:
    """Builds the lines once an interval and keeps a book for each region."""

    def __init__(
        self,
        agreed: state.AgreedState,
        seen: presence.PresenceTable,
        limit_ms: int,
    ) -> None:
        """Begin with no lines.

        :param agreed: the agreed state, for the groups.
        :param seen: what is known of hosts.
        :param limit_ms: proven age at which a host counts as absent.
        """
        self._agreed = agreed
        self._seen = seen
        self._limit_ms = limit_ms
        self._regions: dict[str, RegionLineTable] = {}

    def open_region(self, region: str) -> RegionLineTable:
        """Return a region's book; it is begun if it is the first call.

        :param region: the region.
        """
        table = self._regions.get(region)
        if table is None:
            table = RegionLineTable(self._limit_ms)
            self._regions[region] = table
            self._refresh_region(region, table)
        return table

    def refresh(self) -> None:
        """Build all lines anew."""
        for region, table in self._regions.items():
            self._refresh_region(region, table)

    def _refresh_region(self, region: str, table: RegionLineTable) -> None:
        groups = [
            self._build_group(record)
            for record in self._agreed.groups.groups.values()
            if record.phase == commands_pb2.SERVING
        ]
        workers = [
            build_worker_line(seen)
            for seen in self._seen.hosts.values()
            if seen.announcement.service and seen.is_proven(self._limit_ms)
        ]
        table.refresh(
            _select_for_region(groups, region, 'deployment') + workers
        )

    def _build_group(self, record: commands_pb2.GroupRecord) -> BuiltLine:
        built = build_group_line(record, self._seen)
        is_absent = clock.now_ms() - built.proven_ms > self._limit_ms
        if is_absent and isinstance(built.line, membership_pb2.GroupLine):
            built.line.complete = False
        return built


def _select_for_region(
    built: list[BuiltLine], region: str, served: str
) -> list[BuiltLine]:
    """Return the lines of a region, and of others for what it lacks."""
    covered = {
        getattr(item.line, served)
        for item in built
        if item.line.region == region
        and isinstance(item.line, membership_pb2.GroupLine)
        and item.line.complete
    }
    return [
        item
        for item in built
        if item.line.region == region
        or getattr(item.line, served) not in covered
    ]
