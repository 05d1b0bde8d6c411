"""Claims of non-idempotent requests.

A claim is kept as a record of fixed size, not as an object: there may be
millions of them, and a snapshot must be able to freeze them all at once.
"""

from collections import abc
import hashlib
import struct
import typing

from filbertglade.control.tables import base
from filbertglade.control.tables import records
from filbertglade.control.tables import sources
from filbertglade.inner import commands_pb2

Action = commands_pb2.ClaimChange
Verdict = commands_pb2.ClaimResult
VerdictValue = commands_pb2.ClaimResult.Verdict

# Changes after which one more shard is looked through for expired claims.
SWEEP_CHANGES = 16
# Part of a body's digest that is kept.
BODY_BYTES = 12
# Latest log clock that a record holds.
LATEST_MS = 2**62

_RECORD = struct.Struct(f'>{records.DIGEST_BYTES}s{BODY_BYTES}sQIQ')
# The expiries alone.
_EXPIRY = struct.Struct(f'>{records.DIGEST_BYTES + BODY_BYTES}xQ12x')
_SWEEP = struct.Struct('>QQ')
_SEPARATOR = b'\0'

# First byte of a snapshot's part.
_SWEEP_PART = b'\0'
_SOURCES_PART = b'\1'
_RECORDS_PART = b'\2'


class Claim(typing.NamedTuple):
    """A claim's record.

    :param digest: digest of customer and key.
    :param body_digest: the part of the body's digest that is kept.
    :param expiry: twice the log clock at which it is forgotten, plus one if
        the request has its final outcome.
    :param source: place of the attempt's source.
    :param number: the attempt's number.
    """

    digest: bytes
    body_digest: bytes
    expiry: int
    source: int
    number: int

    @property
    def is_finished(self) -> bool:
        """Whether the request has its final outcome."""
        return bool(self.expiry & 1)


class ClaimTable(base.Table):
    """Claims by customer and key."""

    def __init__(self) -> None:
        self._records = records.RecordTable(_RECORD.size)
        self._sources = sources.SourceTable()
        # The next shard to look through, and changes since the last.
        self._sweep_place = 0
        self._sweep_debt = 0

    def __len__(self) -> int:
        return len(self._records)

    def apply(
        self, changes: commands_pb2.ClaimChanges, stamped_ms: int
    ) -> commands_pb2.ClaimResults:
        """Apply a batch of changes in order.

        :param changes: the batch.
        :param stamped_ms: log clock of the batch.
        :returns: one result a change.
        """
        self._sweep(len(changes.changes), stamped_ms)
        results = commands_pb2.ClaimResults()
        for change in changes.changes:
            self._apply_one(change, stamped_ms, results.results.add())
        return results

    def _sweep(self, change_count: int, stamped_ms: int) -> None:
        """Forget expired claims of some shards, in turn."""
        self._sweep_debt += change_count
        for _ in range(self._records.shard_count):
            if self._sweep_debt < SWEEP_CHANGES:
                return
            self._sweep_debt -= SWEEP_CHANGES
            self._sweep_place += 1
            if self._sweep_place >= self._records.shard_count:
                self._sweep_place = 0
            self._sweep_shard(stamped_ms)
        self._sweep_debt = 0

    def _sweep_shard(self, stamped_ms: int) -> None:
        shard = self._records.shard(self._sweep_place)
        latest = _last_expired(stamped_ms)
        if all(expiry > latest for (expiry,) in _EXPIRY.iter_unpack(shard)):
            return

        def is_kept(record: bytes) -> bool:
            claim = Claim(*_RECORD.unpack(record))
            if claim.expiry > latest:
                return True
            self._sources.release(claim.source)
            return False

        self._records.filter_shard(self._sweep_place, is_kept)

    def _apply_one(
        self,
        change: commands_pb2.ClaimChange,
        stamped_ms: int,
        result: commands_pb2.ClaimResult,
    ) -> None:
        digest = _digest_key(change.customer, change.key)
        record = self._records.get(digest)
        claim = None if record is None else Claim(*_RECORD.unpack(record))
        # Removal of expired claims is no more than saving of memory: what
        # decides is this line, on every replica alike.
        if claim is not None and claim.expiry <= _last_expired(stamped_ms):
            self._forget(claim)
            claim = None
        if claim is None and change.action == Action.TAKE:
            claim = self._take(digest, change, stamped_ms)
            self._report(result, Verdict.DONE, claim)
        elif claim is None:
            result.verdict = Verdict.NOT_HELD
        elif change.action == Action.TAKE:
            self._report(result, self._compare(claim, change), claim)
        elif change.action == Action.TAKE_OVER:
            claim, verdict = self._take_over(claim, change)
            self._report(result, verdict, claim)
        elif self._name(claim) != change.attempt:
            self._report(result, Verdict.NOT_HELD, claim)
        else:
            self._report(result, Verdict.DONE, claim)
            self._settle(claim, change)

    def _report(
        self,
        result: commands_pb2.ClaimResult,
        verdict: VerdictValue,
        claim: Claim,
    ) -> None:
        result.verdict = verdict
        source = self._sources.get(claim.source)
        result.attempt = sources.join_name(source.run, claim.number)
        result.owner = source.owner
        result.owner_address = source.owner_address

    def _forget(self, claim: Claim) -> None:
        self._records.remove(claim.digest)
        self._sources.release(claim.source)

    def _take(
        self,
        digest: bytes,
        change: commands_pb2.ClaimChange,
        stamped_ms: int,
    ) -> Claim:
        expires_ms = min(stamped_ms + change.kept_ms, LATEST_MS)
        source, number = self._hold_source(change)
        body_digest = _cut_digest(change.body_digest)
        claim = Claim(digest, body_digest, expires_ms << 1, source, number)
        self._records.add(_RECORD.pack(*claim))
        return claim

    def _take_over(
        self, claim: Claim, change: commands_pb2.ClaimChange
    ) -> tuple[Claim, VerdictValue]:
        if claim.body_digest != _cut_digest(change.body_digest):
            return claim, Verdict.BODY_DIFFERS
        if claim.is_finished:
            return claim, Verdict.FINISHED
        name = self._name(claim)
        if name not in (change.expected_attempt, change.attempt):
            return claim, Verdict.HELD
        source, number = self._hold_source(change)
        self._sources.release(claim.source)
        claim = claim._replace(source=source, number=number)
        self._records.replace(_RECORD.pack(*claim))
        return claim, Verdict.DONE

    def _settle(self, claim: Claim, change: commands_pb2.ClaimChange) -> None:
        """Release or finish a claim; what is finished stays so."""
        if claim.is_finished:
            return
        if change.action == Action.RELEASE:
            self._forget(claim)
        elif change.action == Action.FINISH:
            finished = claim._replace(expiry=claim.expiry | 1)
            self._records.replace(_RECORD.pack(*finished))

    def _compare(
        self, claim: Claim, change: commands_pb2.ClaimChange
    ) -> VerdictValue:
        if claim.body_digest != _cut_digest(change.body_digest):
            return Verdict.BODY_DIFFERS
        if self._name(claim) == change.attempt:
            return Verdict.DONE
        return Verdict.FINISHED if claim.is_finished else Verdict.HELD

    def _hold_source(
        self, change: commands_pb2.ClaimChange
    ) -> tuple[int, int]:
        run, number = sources.split_name(change.attempt)
        source = sources.Source(run, change.owner, change.owner_address)
        return self._sources.hold(source), number

    def _name(self, claim: Claim) -> str:
        run = self._sources.get(claim.source).run
        return sources.join_name(run, claim.number)

    def dump(self) -> abc.Iterator[bytes]:
        """Return the whole table for a snapshot, in parts."""
        sweep = _SWEEP.pack(self._sweep_place, self._sweep_debt)
        return _join_parts(sweep, self._sources.dump(), self._records.dump())

    def load_chunk(self, chunk: bytes) -> None:
        """Add one part of a snapshot to a fresh table.

        :param chunk: a part that :meth:`dump` gave; all come in order.
        """
        part, data = chunk[:1], chunk[1:]
        if part == _SWEEP_PART:
            self._sweep_place, self._sweep_debt = _SWEEP.unpack(data)
            self._records.clear()
        elif part == _SOURCES_PART:
            self._sources.load_chunk(data)
        else:
            self._records.load_chunk(data)


def _join_parts(
    sweep: bytes,
    source_chunks: abc.Iterator[bytes],
    record_chunks: abc.Iterator[bytes],
) -> abc.Iterator[bytes]:
    yield _SWEEP_PART + sweep
    for chunk in source_chunks:
        yield _SOURCES_PART + chunk
    for chunk in record_chunks:
        yield _RECORDS_PART + chunk


def _last_expired(stamped_ms: int) -> int:
    """Return the greatest expiry of claims that are forgotten by now."""
    return stamped_ms << 1 | 1


def _digest_key(customer: str, key: str) -> bytes:
    return hashlib.blake2b(
        customer.encode() + _SEPARATOR + key.encode(),
        digest_size=records.DIGEST_BYTES,
    ).digest()


def _cut_digest(digest: bytes) -> bytes:
    """Return the part of a body's digest that is kept, of full length."""
    return digest[:BODY_BYTES].ljust(BODY_BYTES, b'\0')
