"""Requests and parts under which endpoints crashed, as a host knows them."""

import collections
from collections import abc
import dataclasses
import itertools

from filbertglade import clock
from filbertglade.fleet import suspect_keys
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs

log = logs.get_log(__name__)

# Crashed endpoints from which on a request is only sent in trials.
STRIKE_LIMIT = 2
# The same for requests with a part: endpoints that crash for another reason
# strike the parts of all requests that run on them.
PART_STRIKE_LIMIT = 3
# How long a request with fewer strikes is remembered after the latest, in ms.
SUSPECT_LIFETIME_MS = 300_000
# The same for requests that are only sent in trials, in ms: each endpoint that
# such a request crashes is one more, so it is forgotten late.
STRUCK_LIFETIME_MS = 3_600_000
# Time after the latest strike in which another one of the same endpoint is
# about the same crash, in ms: an endpoint that crashed is back after about as
# long, and responses that it leaves unfinished end one after the other, by
# their deadlines. Only one request runs in a trial.
SAME_CRASH_MS = 2500
SAME_TRIAL_MS = 500
# Most requests that are remembered.
MAX_REQUESTS = 10_000
# Most endpoints that are remembered for a request: more change no decision.
MAX_ENDPOINTS = 16


@dataclasses.dataclass(slots=True)
class StruckRequest:
    """A request, or a part of prompts, under which endpoints crashed.

    :param is_part: whether it is a part.
    :param endpoints: incarnation keys of these endpoints.
    :param failed_trials: trials in which an endpoint crashed.
    :param struck_ms: local clock at the latest strike.
    :param version: the table's version at the latest change.
    """

    is_part: bool
    endpoints: set[str] = dataclasses.field(default_factory=set)
    failed_trials: int = 0
    struck_ms: int = 0
    version: int = 0

    @property
    def needs_trial(self) -> bool:
        """Whether it may only be sent in a trial."""
        limit = PART_STRIKE_LIMIT if self.is_part else STRIKE_LIMIT
        return len(self.endpoints) >= limit

    @property
    def lifetime_ms(self) -> int:
        """How long it is remembered after its latest strike, in ms."""
        return STRUCK_LIFETIME_MS if self.needs_trial else SUSPECT_LIFETIME_MS


class StruckRequests:
    """A bounded table of struck requests, by digest.

    If it is full, the oldest request that needs no trial is dropped first:
    crashes of other causes strike many requests once.

    :ivar version: incremented with each change.
    :ivar trials_version: the version at the latest change after which a
        request needs a trial or no longer needs one.
    """

    def __init__(self) -> None:
        self.version = 0
        self.trials_version = 0
        self._suspects: collections.OrderedDict[bytes, StruckRequest] = (
            collections.OrderedDict()
        )
        self._needing_trial: collections.OrderedDict[bytes, StruckRequest] = (
            collections.OrderedDict()
        )
        # When each request was cleared, and the version then.
        self._cleared: collections.OrderedDict[bytes, tuple[int, int]] = (
            collections.OrderedDict()
        )

    def find(self, digest: bytes) -> StruckRequest | None:
        """Return the strikes against a request.

        :param digest: its digest.
        :returns: its record; None if there is none.
        """
        record = self._needing_trial.get(digest) or self._suspects.get(digest)
        if record is None:
            return None
        if clock.now_ms() - record.struck_ms > record.lifetime_ms:
            self._drop(digest)
            return None
        return record

    def count_strikes(self, digest: bytes) -> int:
        """Return how many endpoints have crashed under a request.

        :param digest: its digest.
        """
        record = self.find(digest)
        return len(record.endpoints) if record is not None else 0

    def needs_trial(self, digest: bytes) -> bool:
        """Return whether a request may only be sent in a trial.

        :param digest: its digest.
        """
        record = self.find(digest)
        return record is not None and record.needs_trial

    def add_strike(
        self,
        digest: bytes,
        endpoint: str,
        age_ms: int = 0,
        is_trial: bool = False,
    ) -> bool:
        """Record that an endpoint crashed under a request.

        :param digest: the request's digest.
        :param endpoint: the endpoint's incarnation key.
        :param age_ms: time since the crash was noted.
        :param is_trial: whether the request was sent in a trial.
        :returns: whether it is new, and newer than the request's clearing.
        """
        noted_ms = clock.now_ms() - age_ms
        cleared_ms, _ = self._cleared.get(digest, (None, 0))
        if cleared_ms is not None and noted_ms <= cleared_ms:
            return False
        record = self.find(digest) or _make_record(digest)
        if endpoint in record.endpoints:
            same_crash_ms = SAME_TRIAL_MS if is_trial else SAME_CRASH_MS
            if noted_ms <= record.struck_ms + same_crash_ms:
                record.struck_ms = max(record.struck_ms, noted_ms)
                return False
            # It came back under the same name, and has crashed again.
            endpoint = _name_again(endpoint, record.endpoints)
        if len(record.endpoints) < MAX_ENDPOINTS:
            record.endpoints.add(endpoint)
        record.failed_trials += is_trial
        record.struck_ms = max(record.struck_ms, noted_ms)
        self._store(digest, record)
        log.change(
            'strike.noted',
            digest=digest.hex(),
            is_part=record.is_part,
            endpoint=endpoint,
            strikes=len(record.endpoints),
            failed_trials=record.failed_trials,
            age_ms=age_ms,
        )
        return True

    def clear(self, digest: bytes) -> bool:
        """Forget the strikes against a request.

        :param digest: its digest.
        :returns: whether there were any.
        """
        record = self.find(digest)
        if record is None:
            return False
        self._drop(digest)
        self.version += 1
        if record.needs_trial:
            self.trials_version = self.version
        self._cleared[digest] = (clock.now_ms(), self.version)
        self._cleared.move_to_end(digest)
        if len(self._cleared) > MAX_REQUESTS:
            self._cleared.popitem(last=False)
        log.change(
            'strikes.cleared',
            digest=digest.hex(),
            strikes=len(record.endpoints),
            failed_trials=record.failed_trials,
        )
        return True

    def _store(self, digest: bytes, record: StruckRequest) -> None:
        self._drop(digest)
        self.version += 1
        record.version = self.version
        if record.needs_trial:
            self.trials_version = self.version
        table = self._needing_trial if record.needs_trial else self._suspects
        table[digest] = record
        if len(self._suspects) + len(self._needing_trial) > MAX_REQUESTS:
            oldest = self._suspects or self._needing_trial
            oldest.popitem(last=False)

    def _drop(self, digest: bytes) -> None:
        self._suspects.pop(digest, None)
        self._needing_trial.pop(digest, None)

    def replace_with(self, other: 'StruckRequests') -> None:
        """Replace all records by those of another table.

        :param other: the other table.
        """
        self._suspects.clear()
        self._needing_trial.clear()
        self._cleared.clear()
        for table in (other._suspects, other._needing_trial):
            for digest, record in table.items():
                copy = dataclasses.replace(
                    record, endpoints=set(record.endpoints)
                )
                self._store(digest, copy)

    # Frames

    def write_changes(
        self, frame: fleet_pb2.FleetFrame, since_version: int
    ) -> None:
        """Write all changes after a version to a frame.

        :param frame: the frame.
        :param since_version: the version; -1 for the whole table.
        """
        if since_version == self.version:
            return
        for digest, (_, version) in reversed(self._cleared.items()):
            if version <= since_version:
                break
            frame.cleared.append(digest)
        for table in (self._suspects, self._needing_trial):
            for digest, record in reversed(table.items()):
                if record.version <= since_version:
                    break
                frame.struck.append(_write(digest, record))

    def apply_changes(
        self,
        cleared: abc.Iterable[bytes],
        struck: abc.Iterable[fleet_pb2.StruckRequest],
    ) -> None:
        """Apply what the leader knows.

        :param cleared: digests of requests whose strikes no longer count.
        :param struck: requests with strikes.
        """
        for digest in cleared:
            self.clear(digest)
        for item in struck:
            self._merge(item)

    def learn(self, known: fleet_pb2.StruckRequest) -> None:
        """Learn what a host knows, unless this table has been cleared of it.

        :param known: the host's record.
        """
        if known.endpoints and known.digest not in self._cleared:
            self._merge(known)

    def find_known(self, digest: bytes) -> fleet_pb2.StruckRequest | None:
        """Return the record of a request or part, to be sent.

        :param digest: its digest.
        :returns: the record; None if there is none.
        """
        record = self.find(digest)
        return None if record is None else _write(digest, record)

    def _merge(self, item: fleet_pb2.StruckRequest) -> None:
        record = self.find(item.digest) or _make_record(item.digest)
        if (
            record.endpoints.issuperset(item.endpoints)
            and record.failed_trials >= item.failed_trials
        ):
            return
        record.endpoints.update(item.endpoints)
        record.failed_trials = max(record.failed_trials, item.failed_trials)
        record.struck_ms = clock.now_ms()
        self._store(item.digest, record)


def _name_again(endpoint: str, known: set[str]) -> str:
    """Return the first name for a further crash that isn't known yet."""
    names = (f'{endpoint} again {number}' for number in itertools.count(1))
    return next(name for name in names if name not in known)


def _make_record(digest: bytes) -> StruckRequest:
    return StruckRequest(suspect_keys.is_part(digest))


def _write(digest: bytes, record: StruckRequest) -> fleet_pb2.StruckRequest:
    return fleet_pb2.StruckRequest(
        digest=digest,
        endpoints=sorted(record.endpoints),
        failed_trials=record.failed_trials,
    )
