"""Routing lines about groups and workers, which control hosts send to nodes.

A line holds what a node needs to route to one group or worker. The lines are
built once an interval for all nodes of a region. A frame holds a complete
line if the line is new or has changed, and the load alone if only that has
changed. An unchanged line is covered by the age that a frame's lines share.
"""

from collections import abc
import dataclasses

from filbertglade import clock
from filbertglade.control import state
from filbertglade.inner import commands_pb2
from filbertglade.inner import membership_pb2
from filbertglade.membership import presence

# Number of table versions for which a removed line is reported to readers. A
# reader that receives nothing for longer has lost its stream.
GONE_KEPT_VERSIONS = 200

Line = membership_pb2.GroupLine | membership_pb2.WorkerLine


@dataclasses.dataclass(slots=True)
class BuiltLine:
    """A line as it was last built.

    :param key: identifies the line.
    :param line: the line without its age, load and number.
    :param load: its load.
    :param proven_ms: local clock less its proven age.
    """

    key: str
    line: Line
    load: membership_pb2.Load
    proven_ms: int

    @property
    def needs_age(self) -> bool:
        """Whether its age matters; that of an incomplete group doesn't."""
        return not isinstance(self.line, membership_pb2.GroupLine) or (
            self.line.complete
        )


def build_group_line(
    record: commands_pb2.GroupRecord,
    seen: presence.PresenceTable,
    evacuated: abc.Container[str] = (),
) -> BuiltLine:
    """Summarise a group's hosts in one line.

    :param record: the group.
    :param seen: the newest announcements of hosts.
    :param evacuated: data centres whose groups take no requests.
    """
    line = membership_pb2.GroupLine(
        group=record.group,
        epoch=record.epoch,
        deployment=record.deployment,
        fabric_domain=record.fabric_domain,
        hosts=record.hosts,
    )
    places = {
        host.announcement.data_centre
        for name in record.hosts
        if (host := seen.hosts.get(name)) is not None
    }
    line.data_centres.extend(sorted(places))
    # Nodes of earlier releases don't compare the data centres themselves.
    line.complete = not any(place in evacuated for place in places)
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


def build_worker_line(
    host: presence.SeenHost, evacuated: abc.Container[str] = ()
) -> BuiltLine:
    """Return the line of a plain service's worker.

    :param host: the worker's host.
    :param evacuated: data centres whose workers take no requests.
    """
    announcement = host.announcement
    line = membership_pb2.WorkerLine(
        host=announcement.host,
        run=announcement.run,
        service=announcement.service,
        region=announcement.region,
        data_centre=announcement.data_centre,
        address=announcement.address,
        leaving=announcement.leaving or announcement.data_centre in evacuated,
    )
    return BuiltLine(
        f'worker/{announcement.host}', line, announcement.load, host.proven_ms
    )


@dataclasses.dataclass(slots=True)
class LineEntry:
    """A line in a region's table.

    :param number: identifies the line in frames.
    :param built: the line.
    :param line_version: version of the table at the line's last change.
    :param load_version: version of the table at its load's last change.
    """

    number: int
    built: BuiltLine
    line_version: int
    load_version: int


class RegionLineTable:
    """The lines that the nodes of one region use for routing."""

    def __init__(self, limit_ms: int) -> None:
        """Create a table without lines.

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

        :param built: all current lines.
        """
        self.version += 1
        self._drop_old_removals()
        keys = {item.key for item in built}
        for key in [key for key in self._lines if key not in keys]:
            self._gone[self._lines.pop(key).number] = self.version
        for item in built:
            self._update_line(item)
        self._compute_shared_age()

    def _compute_shared_age(self) -> None:
        """Find the age that most lines share; older lines have their own.

        Lines of hosts that have been silent for half the presence limit
        always have their own age, however many they are; they would
        otherwise raise the shared age of all other lines.
        """
        by_age = sorted(
            (item for item in self._lines.values() if item.built.needs_age),
            key=lambda item: item.built.proven_ms,
        )
        silent_since_ms = clock.now_ms() - self._limit_ms // 2
        silent_count = sum(
            item.built.proven_ms < silent_since_ms for item in by_age
        )
        aged_count = max(len(by_age) // 10, silent_count)
        self._aged = by_age[:aged_count]
        self._shared_proven_ms = (
            by_age[aged_count].built.proven_ms
            if aged_count < len(by_age)
            else clock.now_ms()
        )

    def _drop_old_removals(self) -> None:
        oldest = self.version - GONE_KEPT_VERSIONS
        for number in [n for n, at in self._gone.items() if at < oldest]:
            del self._gone[number]

    def _update_line(self, built: BuiltLine) -> None:
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
        """Write what has changed since a reader's version, and the ages.

        :param frame: the frame to fill.
        :param version: the table's version that the reader has; 0 for none.
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
    """Builds the lines once an interval and keeps a table for each region."""

    def __init__(
        self,
        agreed: state.AgreedState,
        seen: presence.PresenceTable,
        limit_ms: int,
    ) -> None:
        """Create no tables yet.

        :param agreed: the agreed state, for the groups.
        :param seen: the newest announcements of hosts.
        :param limit_ms: proven age at which a host counts as absent.
        """
        self._agreed = agreed
        self._seen = seen
        self._limit_ms = limit_ms
        self._regions: dict[str, RegionLineTable] = {}

    def open_region(self, region: str) -> RegionLineTable:
        """Return a region's table, which the first call creates.

        :param region: the region.
        """
        table = self._regions.get(region)
        if table is None:
            table = RegionLineTable(self._limit_ms)
            self._regions[region] = table
            self._refresh_region(region, table)
        return table

    def refresh(self) -> None:
        """Rebuild all lines."""
        for region, table in self._regions.items():
            self._refresh_region(region, table)

    def _refresh_region(self, region: str, table: RegionLineTable) -> None:
        groups = [
            self._build_group(record)
            for record in self._agreed.groups.groups.values()
            if record.phase == commands_pb2.SERVING
        ]
        evacuated = self._agreed.evacuations.names
        workers = [
            build_worker_line(seen, evacuated)
            for seen in self._seen.hosts.values()
            if seen.announcement.service and seen.is_proven(self._limit_ms)
        ]
        table.refresh(
            _select_for_region(groups, region, 'deployment') + workers
        )

    def _build_group(self, record: commands_pb2.GroupRecord) -> BuiltLine:
        built = build_group_line(
            record, self._seen, self._agreed.evacuations.names
        )
        is_absent = clock.now_ms() - built.proven_ms > self._limit_ms
        if is_absent and isinstance(built.line, membership_pb2.GroupLine):
            built.line.complete = False
        return built


def _select_for_region(
    built: list[BuiltLine], region: str, served: str
) -> list[BuiltLine]:
    """Return a region's lines, and other regions' for what it lacks.

    Another region's line is included if no complete group of the region
    serves the same deployment.

    :param served: the line's field that names what it serves.
    """
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
