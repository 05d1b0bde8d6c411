"""The leader's registry of endpoints, one entry per incarnation."""

from collections import abc
import dataclasses

from filbertglade import clock
from filbertglade import failures
from filbertglade.fleet import change_index
from filbertglade.fleet import departures
from filbertglade.fleet import endpoints
from filbertglade.inner import commands_pb2
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs

log = logs.get_log(__name__)

# Time without an announcement after which an endpoint is marked silent, in
# announcement intervals: one late announcement is tolerated, two missing
# ones are not.
SILENCE_INTERVALS = 1.7
# How long the key of an ended incarnation is kept, in ms: announcements that
# a network partition delayed arrive seconds late and must be rejected.
ENDED_RETENTION_MS = 120_000
# Time without an announcement after which an entry is removed, in ms.
FORGET_MS = 45_000
# Most endpoints that are remembered as leaving before their announcements
# arrive: several times those of the largest fleet.
MAX_EARLY_LEAVING = 4096


@dataclasses.dataclass(slots=True)
class EndpointEntry:
    """One incarnation of an endpoint.

    :param endpoint: its latest announcement.
    :param last_announced_ms: local clock at its latest announcement.
    :param highest_epoch: the highest epoch that it has reported.
    :param last_membership: the latest group membership that it has reported;
        None if it has reported none.
    :param outside_since_ms: local clock at the first announcement since which
        it has been in no group; None while it is in one.
    :param version: the registry's version at its last change.
    :param is_overdue: whether announcements are missing although it is known
        to be alive.
    """

    endpoint: fleet_pb2.Endpoint
    last_announced_ms: int
    highest_epoch: int = 0
    last_membership: fleet_pb2.Membership | None = None
    outside_since_ms: int | None = None
    version: int = 0
    is_overdue: bool = False

    @property
    def is_usable(self) -> bool:
        """Whether it is neither silent nor leaving."""
        return not (self.endpoint.silent or self.endpoint.leaving)

    def note_membership(self) -> None:
        """Note the group membership that the latest announcement reports."""
        membership = self.endpoint.membership
        self.highest_epoch = max(self.highest_epoch, membership.epoch)
        if membership.group:
            self.last_membership = membership
            self.outside_since_ms = None
        elif self.outside_since_ms is None:
            self.outside_since_ms = self.last_announced_ms


class Registry:
    """The known endpoints.

    An older announcement never replaces a newer one, and none takes back a
    departure, whichever leader was told of it.

    :param announce_ms: time between two announcements of an endpoint.
    :param recorded: the departures that the control hosts have agreed on;
        None if there are none.
    :ivar recorded: the departures that the control hosts have agreed on.
    :ivar entries: the entries by incarnation key.
    :ivar changed_versions: registry versions of the entries' latest changes,
        by incarnation key.
    :ivar removed_versions: registry versions at which entries were removed,
        by incarnation key.
    :ivar version: incremented with each change.
    :ivar read_cold: takes from an announcement how much longer its endpoint
        is cold; None if nothing needs it.
    :ivar is_cold: tells whether an endpoint is cold, by incarnation key.
    """

    def __init__(
        self,
        announce_ms: int,
        recorded: departures.DepartureReader | None = None,
    ) -> None:
        self._announce_ms = announce_ms
        self.recorded = recorded or departures.NoDepartures()
        self._silence_ms = announce_ms * SILENCE_INTERVALS
        self.entries: dict[str, EndpointEntry] = {}
        self._key_by_id: dict[str, str] = {}
        self._key_by_address: dict[str, str] = {}
        self._ended_ms: dict[str, int] = {}
        # Latest sequence numbers of ended incarnations that another one
        # replaced, by their keys.
        self._replaced_sequences: dict[str, int] = {}
        # Ended incarnations that had not announced that they leave.
        self._crashed: set[str] = set()
        # Incarnations that are leaving though they haven't announced
        # themselves here yet, by the local clock, the oldest first.
        self._early_leaving_ms: dict[str, int] = {}
        self.changed_versions = change_index.ChangeIndex()
        self.removed_versions = change_index.ChangeIndex()
        self.version = 0
        # Local clock when the newest incarnation was added.
        self.last_appearance_ms = 0
        self._listeners: list[abc.Callable[[], None]] = []
        # Reads each announcement before it is compared and kept.
        self.read_cold: abc.Callable[[fleet_pb2.Endpoint], None] | None = None
        self.is_cold: abc.Callable[[str], bool] = lambda key: False

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call a function after each change.

        :param listener: called on the event loop; it must not block.
        """
        self._listeners.append(listener)

    def seed(self, known_endpoints: abc.Iterable[fleet_pb2.Endpoint]) -> None:
        """Replace all entries by endpoints that another leader reported.

        Each counts as announced now, so that it has time to announce itself.
        Those that have departed are left out: the other leader may not have
        reported that yet.

        :param known_endpoints: the endpoints.
        """
        self.entries.clear()
        self.changed_versions.clear()
        self._key_by_id.clear()
        self._key_by_address.clear()
        for endpoint in known_endpoints:
            if self.recorded.has_gone(endpoints.get_key(endpoint)):
                continue
            copy = fleet_pb2.Endpoint()
            copy.CopyFrom(endpoint)
            self._add(copy)
        self._publish_change()

    def apply(self, endpoint: fleet_pb2.Endpoint) -> failures.Failure | None:
        """Apply an announcement.

        :param endpoint: the decoded announcement.
        :returns: None, or why the announcement was rejected.
        """
        key = endpoints.get_key(endpoint)
        entry = self.entries.get(key)
        if entry is None:
            rejection = self._find_rejection(endpoint, key)
            if rejection:
                return _reject(rejection)
            self._remove_predecessors(endpoint, key)
            self._add(endpoint)
            self.last_appearance_ms = clock.now_ms()
            log.change(
                'endpoint.appeared',
                endpoint=key,
                service=endpoint.service,
                address=endpoint.address,
                domain=endpoint.fabric_domain,
                staged=list(endpoint.staged),
            )
            self._publish_change()
            return None
        if endpoint.sequence <= entry.endpoint.sequence:
            return _reject(
                f'sequence {endpoint.sequence} after {entry.endpoint.sequence}'
            )
        if endpoint.service != entry.endpoint.service:
            return _reject('an incarnation cannot change its service')
        self._update(entry, endpoint, key)
        return None

    def _update(
        self, entry: EndpointEntry, endpoint: fleet_pb2.Endpoint, key: str
    ) -> None:
        previous = entry.endpoint
        if self.read_cold is not None:
            self.read_cold(endpoint)
        endpoint.leaving = endpoint.leaving or previous.leaving
        entry.last_announced_ms = clock.now_ms()
        entry.is_overdue = False
        entry.endpoint = endpoint
        entry.note_membership()
        if _is_equal_except_sequence(previous, endpoint):
            return
        if previous.silent or previous.leaving != endpoint.leaving:
            log.change(
                'endpoint.changed',
                endpoint=key,
                was_silent=previous.silent,
                leaving=endpoint.leaving,
                sequence=endpoint.sequence,
            )
        self._key_by_address[endpoint.address] = key
        self._mark_changed(entry, key)

    def _find_rejection(self, endpoint: fleet_pb2.Endpoint, key: str) -> str:
        if key in self._ended_ms and not self._may_return(endpoint, key):
            return 'this incarnation has ended'
        if self.recorded.has_gone(key):
            return 'this incarnation has departed'
        for other in (
            self._key_by_id.get(endpoint.id),
            self._key_by_address.get(endpoint.address),
        ):
            if other is None:
                continue
            holder = self.entries[other].endpoint
            if 0 < endpoint.born_ms < holder.born_ms:
                return f'{other} started later'
        return ''

    def _may_return(self, endpoint: fleet_pb2.Endpoint, key: str) -> bool:
        """Return whether an incarnation was taken for ended by mistake.

        An announcement of an earlier one that arrives late at a new leader
        replaces the present one: the leader knows of neither which began
        first. Only the present one goes on announcing itself.

        :param endpoint: what the ended incarnation announces.
        :param key: its key.
        """
        sequence = self._replaced_sequences.get(key)
        if sequence is None or endpoint.sequence <= sequence:
            return False
        now_ms = clock.now_ms()
        return all(
            now_ms - self.entries[other].last_announced_ms > self._silence_ms
            for other in self._list_holders(endpoint)
        )

    def _list_holders(self, endpoint: fleet_pb2.Endpoint) -> list[str]:
        """Return the keys of those that have an endpoint's id or address."""
        holders = (
            self._key_by_id.get(endpoint.id),
            self._key_by_address.get(endpoint.address),
        )
        return [key for key in holders if key in self.entries]

    def _remove_predecessors(
        self, endpoint: fleet_pb2.Endpoint, key: str
    ) -> None:
        for other in self._list_holders(endpoint):
            # It may have both.
            if other in self.entries:
                replaced = self.entries[other].endpoint
                if not replaced.leaving:
                    self._crashed.add(other)
                self._remove(other, f'replaced by {key}')
                self._replaced_sequences[other] = replaced.sequence

    def deregister(self, endpoint_id: str, born_ms: int) -> str:
        """Remove an endpoint that has announced its departure.

        :param endpoint_id: its id.
        :param born_ms: start time of the departing incarnation, Unix time in
            ms; 0 if not given.
        :returns: the key of the incarnation that departs, known or not.
        """
        key = self._key_by_id.get(endpoint_id)
        if key is None or (
            born_ms and born_ms != self.entries[key].endpoint.born_ms
        ):
            return endpoints.make_key(endpoint_id, born_ms)
        self._remove(key, 'departed')
        self._publish_change()
        return key

    def heed_departures(self, command: commands_pb2.Command) -> None:
        """Heed departures that the control hosts have agreed on.

        An endpoint may have been added while its departure was committed.

        :param command: a command that was applied.
        """
        for departure in command.departures.departures:
            if departure.endpoint not in self.entries:
                continue
            if departure.gone:
                self._remove(departure.endpoint, 'departed')
                self._publish_change()
            else:
                self.mark_leaving(departure.endpoint, 'the log')

    def mark_leaving(self, key: str, source: str) -> None:
        """Mark an endpoint leaving until its incarnation ends.

        No announcement takes it back: an endpoint that has begun to leave
        ends, and announcements may have been sent before.

        :param key: its incarnation key.
        :param source: the host to which it said so, for the log.
        """
        if key in self._ended_ms:
            return
        entry = self.entries.get(key)
        if entry is None:
            if len(self._early_leaving_ms) >= MAX_EARLY_LEAVING:
                del self._early_leaving_ms[next(iter(self._early_leaving_ms))]
            self._early_leaving_ms[key] = clock.now_ms()
            return
        if entry.endpoint.leaving:
            return
        entry.endpoint.leaving = True
        log.change('endpoint.said_leaving', endpoint=key, source=source)
        self._mark_changed(entry, key)

    def has_crashed(self, key: str) -> bool:
        """Return whether an incarnation seems to have crashed.

        :param key: its incarnation key.
        :returns: whether it is silent, or another one has its id or address
            although it didn't announce that it leaves.
        """
        entry = self.entries.get(key)
        if entry is None:
            return key in self._crashed
        # One probe that wasn't answered in time tells less than a missing
        # announcement.
        age_ms = clock.now_ms() - entry.last_announced_ms
        return (
            entry.endpoint.silent
            and not entry.endpoint.leaving
            and age_ms > self._announce_ms
        )

    def mark_silent(self, key: str, reason: str) -> None:
        """Mark an endpoint silent until its next announcement.

        :param key: its incarnation key.
        :param reason: why, for the log.
        """
        entry = self.entries.get(key)
        if entry is None or entry.endpoint.silent:
            return
        entry.endpoint.silent = True
        log.change(
            'endpoint.silent',
            endpoint=key,
            reason=reason,
            age_ms=clock.now_ms() - entry.last_announced_ms,
            sequence=entry.endpoint.sequence,
        )
        self._mark_changed(entry, key)

    def sweep(
        self, is_alive: abc.Callable[[str], bool] = lambda key: False
    ) -> None:
        """Mark silent endpoints; remove those silent for too long.

        :param is_alive: whether an endpoint, given by its incarnation key, is
            known to be alive although announcements are missing.
        """
        now_ms = clock.now_ms()
        for key, entry in list(self.entries.items()):
            age_ms = now_ms - entry.last_announced_ms
            if age_ms > FORGET_MS:
                if not entry.endpoint.leaving:
                    self._crashed.add(key)
                self._remove(key, 'forgotten')
                self._publish_change()
            elif age_ms > self._silence_ms and not entry.endpoint.silent:
                if is_alive(key):
                    self._note_overdue(entry, key, age_ms)
                else:
                    self.mark_silent(key, 'no announcement')
        for key in [
            key
            for key, ended_ms in self._ended_ms.items()
            if now_ms - ended_ms > ENDED_RETENTION_MS
        ]:
            del self._ended_ms[key]
            self._replaced_sequences.pop(key, None)
            self._crashed.discard(key)
            self.removed_versions.discard(key)

    def _note_overdue(
        self, entry: EndpointEntry, key: str, age_ms: int
    ) -> None:
        if entry.is_overdue:
            return
        entry.is_overdue = True
        log.change(
            'endpoint.overdue',
            endpoint=key,
            group=entry.endpoint.membership.group,
            age_ms=age_ms,
        )

    def _add(self, endpoint: fleet_pb2.Endpoint) -> None:
        if self.read_cold is not None:
            self.read_cold(endpoint)
        key = endpoints.get_key(endpoint)
        early_ms = self._early_leaving_ms.pop(key, None)
        if early_ms is not None:
            age_ms = clock.now_ms() - early_ms
            endpoint.leaving |= age_ms < ENDED_RETENTION_MS
        endpoint.leaving |= self.recorded.is_leaving(key)
        entry = EndpointEntry(endpoint, clock.now_ms())
        self.entries[key] = entry
        self._key_by_id[endpoint.id] = key
        self._key_by_address[endpoint.address] = key
        self.removed_versions.discard(key)
        if self._ended_ms.pop(key, None) is not None:
            self._replaced_sequences.pop(key, None)
            self._crashed.discard(key)
        entry.note_membership()
        self._set_version(entry, key)

    def _remove(self, key: str, reason: str) -> None:
        entry = self.entries.pop(key)
        endpoint = entry.endpoint
        if self._key_by_id.get(endpoint.id) == key:
            del self._key_by_id[endpoint.id]
        if self._key_by_address.get(endpoint.address) == key:
            del self._key_by_address[endpoint.address]
        self._ended_ms[key] = clock.now_ms()
        self.changed_versions.discard(key)
        self.removed_versions.mark(key, self.version + 1)
        log.change(
            'endpoint.ended',
            endpoint=key,
            reason=reason,
            age_ms=clock.now_ms() - entry.last_announced_ms,
        )

    def _mark_changed(self, entry: EndpointEntry, key: str) -> None:
        self._set_version(entry, key)
        self._publish_change()

    def _set_version(self, entry: EndpointEntry, key: str) -> None:
        entry.version = self.version + 1
        self.changed_versions.mark(key, entry.version)

    def _publish_change(self) -> None:
        self.version += 1
        for listener in self._listeners:
            listener()


def _is_equal_except_sequence(
    one: fleet_pb2.Endpoint, other: fleet_pb2.Endpoint
) -> bool:
    """Compare two announcements except for their sequence."""
    copy = fleet_pb2.Endpoint()
    copy.CopyFrom(one)
    copy.sequence = other.sequence
    return copy == other


def _reject(detail: str) -> failures.Failure:
    return failures.Failure(endpoints.AnnouncementReason.OUTDATED, detail)
