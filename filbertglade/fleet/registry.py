"""The endpoints that the leader has heard of, each life by itself."""

from collections import abc
import dataclasses

from filbertglade import clock
from filbertglade import failures
from filbertglade.fleet import endpoints
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs

log = logs.get_log(__name__)

# Silence that counts as a loss, in announcement intervals: one announcement
# may come late, two missing ones may not.
SILENCE_INTERVALS = 1.7
# How long an ended life is remembered, in ms: announcements that were held
# up by a cut arrive seconds late.
ENDED_KEPT_MS = 120_000
# Silence after which a life is forgotten, in ms.
FORGET_MS = 45_000


@dataclasses.dataclass(slots=True)
class EndpointEntry:
    """A life of an endpoint.

    :param endpoint: what it said last.
    :param last_announced_ms: local clock at which it was heard.
    :param highest_epoch: the highest epoch that it has ever reported.
    :param version: the registry's version at its last change.
    """

    endpoint: fleet_pb2.Endpoint
    last_announced_ms: int
    highest_epoch: int = 0
    version: int = 0

    @property
    def is_usable(self) -> bool:
        """Whether it is there and stays."""
        return not (self.endpoint.silent or self.endpoint.leaving)


class Registry:
    """Endpoints by life; older announcements never replace newer ones.

    :param announce_ms: time between two announcements.
    :ivar version: rises with each change.
    """

    def __init__(self, announce_ms: int) -> None:
        self._silence_ms = announce_ms * SILENCE_INTERVALS
        self.entries: dict[str, EndpointEntry] = {}
        self._lives: dict[str, str] = {}
        self._addresses: dict[str, str] = {}
        self._ended_ms: dict[str, int] = {}
        self.gone: dict[str, int] = {}
        self.version = 0
        # Local clock at which the last life appeared.
        self.last_appearance_ms = 0
        self._listeners: list[abc.Callable[[], None]] = []

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call a function after each change.

        :param listener: called on the event loop; it must not block.
        """
        self._listeners.append(listener)

    def seed(self, known: abc.Iterable[fleet_pb2.Endpoint]) -> None:
        """Begin with what another leader knew; each gets time to be heard.

        :param known: the endpoints.
        """
        self.entries.clear()
        self._lives.clear()
        self._addresses.clear()
        for endpoint in known:
            copy = fleet_pb2.Endpoint()
            copy.CopyFrom(endpoint)
            self._put(copy)
        self._change()

    def apply(self, endpoint: fleet_pb2.Endpoint) -> failures.Failure | None:
        """Take an announcement in.

        :param endpoint: what it says.
        :returns: None, or why nothing has changed.
        """
        key = endpoints.get_key(endpoint)
        known = self.entries.get(key)
        if known is None:
            refusal = self._find_refusal(endpoint, key)
            if refusal:
                return _refuse(refusal)
            self._end_predecessors(endpoint, key)
            self._put(endpoint)
            self.last_appearance_ms = clock.now_ms()
            log.change(
                'endpoint.appeared',
                endpoint=key,
                service=endpoint.service,
                address=endpoint.address,
                domain=endpoint.fabric_domain,
                staged=list(endpoint.staged),
            )
            self._change()
            return None
        if endpoint.sequence <= known.endpoint.sequence:
            return _refuse(
                f'sequence {endpoint.sequence} after {known.endpoint.sequence}'
            )
        if endpoint.service != known.endpoint.service:
            return _refuse('a life cannot change its service')
        self._update(known, endpoint, key)
        return None

    def _update(
        self, known: EndpointEntry, endpoint: fleet_pb2.Endpoint, key: str
    ) -> None:
        before = known.endpoint
        endpoint.leaving = endpoint.leaving or before.leaving
        known.last_announced_ms = clock.now_ms()
        known.endpoint = endpoint
        self._note_epoch(known)
        if _is_same(before, endpoint):
            return
        if before.silent or before.leaving != endpoint.leaving:
            log.change(
                'endpoint.changed',
                endpoint=key,
                was_silent=before.silent,
                leaving=endpoint.leaving,
                sequence=endpoint.sequence,
            )
        self._addresses[endpoint.address] = key
        self._touch(known)

    def _find_refusal(self, endpoint: fleet_pb2.Endpoint, key: str) -> str:
        if key in self._ended_ms:
            return 'this life has ended'
        for other in (
            self._lives.get(endpoint.id),
            self._addresses.get(endpoint.address),
        ):
            if other is None:
                continue
            rival = self.entries[other].endpoint
            if 0 < endpoint.born_ms < rival.born_ms:
                return f'{other} is younger'
        return ''

    def _end_predecessors(
        self, endpoint: fleet_pb2.Endpoint, key: str
    ) -> None:
        for other in (
            self._lives.get(endpoint.id),
            self._addresses.get(endpoint.address),
        ):
            if other is not None and other != key and other in self.entries:
                self._end(other, f'replaced by {key}')

    def depart(self, endpoint_id: str, born_ms: int) -> None:
        """End an endpoint's life, since it says that it goes.

        :param endpoint_id: its id.
        :param born_ms: when that life began; 0 if it doesn't say.
        """
        key = self._lives.get(endpoint_id)
        if key is None:
            return
        if born_ms and born_ms != self.entries[key].endpoint.born_ms:
            return
        self._end(key, 'departed')
        self._change()

    def mark_silent(self, key: str, reason: str) -> None:
        """Note that an endpoint doesn't answer; its next words end that.

        :param key: its life.
        :param reason: for the log.
        """
        known = self.entries.get(key)
        if known is None or known.endpoint.silent:
            return
        known.endpoint.silent = True
        log.change(
            'endpoint.silent',
            endpoint=key,
            reason=reason,
            age_ms=clock.now_ms() - known.last_announced_ms,
            sequence=known.endpoint.sequence,
        )
        self._touch(known)

    def sweep(self) -> None:
        """Mark what has not been heard, and forget what is long gone."""
        now_ms = clock.now_ms()
        for key, known in list(self.entries.items()):
            age_ms = now_ms - known.last_announced_ms
            if age_ms > FORGET_MS:
                self._end(key, 'forgotten')
                self._change()
            elif age_ms > self._silence_ms:
                self.mark_silent(key, 'no announcement')
        for key in [
            key
            for key, at_ms in self._ended_ms.items()
            if now_ms - at_ms > ENDED_KEPT_MS
        ]:
            del self._ended_ms[key]
            self.gone.pop(key, None)

    def _put(self, endpoint: fleet_pb2.Endpoint) -> None:
        key = endpoints.get_key(endpoint)
        known = EndpointEntry(endpoint, clock.now_ms())
        self.entries[key] = known
        self._lives[endpoint.id] = key
        self._addresses[endpoint.address] = key
        self.gone.pop(key, None)
        self._note_epoch(known)
        known.version = self.version + 1

    def _note_epoch(self, known: EndpointEntry) -> None:
        known.highest_epoch = max(
            known.highest_epoch, known.endpoint.membership.epoch
        )

    def _end(self, key: str, reason: str) -> None:
        known = self.entries.pop(key)
        endpoint = known.endpoint
        if self._lives.get(endpoint.id) == key:
            del self._lives[endpoint.id]
        if self._addresses.get(endpoint.address) == key:
            del self._addresses[endpoint.address]
        self._ended_ms[key] = clock.now_ms()
        self.gone[key] = self.version + 1
        log.change(
            'endpoint.ended',
            endpoint=key,
            reason=reason,
            age_ms=clock.now_ms() - known.last_announced_ms,
        )

    def _touch(self, known: EndpointEntry) -> None:
        known.version = self.version + 1
        self._change()

    def _change(self) -> None:
        self.version += 1
        for listener in self._listeners:
            listener()


def _is_same(one: fleet_pb2.Endpoint, other: fleet_pb2.Endpoint) -> bool:
    """Compare all but the sequence."""
    copy = fleet_pb2.Endpoint()
    copy.CopyFrom(one)
    copy.sequence = other.sequence
    return copy == other


def _refuse(detail: str) -> failures.Failure:
    return failures.Failure(endpoints.AnnouncementReason.OUTDATED, detail)
