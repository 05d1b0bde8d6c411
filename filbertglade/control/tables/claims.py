"""Claims of non-idempotent requests.

A claim says which attempt may run the request of an idempotency key. Claims
are stored as records of fixed size and not as objects: there may be millions
of them, and a snapshot must be able to copy them all in one step.
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

# Changes after which one more shard is searched for expired claims.
SWEEP_CHANGES = 16
# Bytes of a body's digest that are stored.
BODY_BYTES = 12
# Latest expiry time that a record can hold, on the log clock.
MAXIMUM_EXPIRY_MS = 2**62

_RECORD = struct.Struct(f'>{records.DIGEST_BYTES}s{BODY_BYTES}sQIQ')
# Reads only the expiry of a record.
_EXPIRY = struct.Struct(f'>{records.DIGEST_BYTES + BODY_BYTES}xQ12x')
_SWEEP = struct.Struct('>QQ')
_SEPARATOR = b'\0'

# First byte of a snapshot chunk.
_SWEEP_CHUNK = b'\0'
_SOURCES_CHUNK = b'\1'
_RECORDS_CHUNK = b'\2'


class Claim(typing.NamedTuple):
    """The fields of a claim's record.

    :param digest: digest of customer and key.
    :param body_digest: first bytes of the body's digest.
    :param expiry: twice the log clock at which the claim expires, plus one
        if the request has its final outcome.
    :param source: slot of the attempt's source in the source table.
    :param number: number of the attempt.
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
        # The last shard searched for expired claims, and changes since then.
        self._sweep_shard_index = 0
        self._unswept_changes = 0

    def __len__(self) -> int:
        return len(self._records)

    def apply(
        self, changes: commands_pb2.ClaimChanges, stamped_ms: int
    ) -> commands_pb2.ClaimResults:
        """Apply a batch of changes in order.

        :param changes: the batch.
        :param stamped_ms: log clock of the batch, in ms.
        :returns: one result per change.
        """
        self._sweep(len(changes.changes), stamped_ms)
        results = commands_pb2.ClaimResults()
        for change in changes.changes:
            self._apply_one(change, stamped_ms, results.results.add())
        return results

    def _sweep(self, change_count: int, stamped_ms: int) -> None:
        """Remove expired claims from the next shards, in rotation."""
        self._unswept_changes += change_count
        for _ in range(self._records.shard_count):
            if self._unswept_changes < SWEEP_CHANGES:
                return
            self._unswept_changes -= SWEEP_CHANGES
            self._sweep_shard_index += 1
            if self._sweep_shard_index >= self._records.shard_count:
                self._sweep_shard_index = 0
            self._sweep_one_shard(stamped_ms)
        self._unswept_changes = 0

    def _sweep_one_shard(self, stamped_ms: int) -> None:
        shard = self._records.shard(self._sweep_shard_index)
        highest_expired = _highest_expired(stamped_ms)
        if all(
            expiry > highest_expired
            for (expiry,) in _EXPIRY.iter_unpack(shard)
        ):
            return

        def is_kept(record: bytes) -> bool:
            claim = Claim(*_RECORD.unpack(record))
            if claim.expiry > highest_expired:
                return True
            self._sources.release(claim.source)
            return False

        self._records.filter_shard(self._sweep_shard_index, is_kept)

    def _apply_one(
        self,
        change: commands_pb2.ClaimChange,
        stamped_ms: int,
        result: commands_pb2.ClaimResult,
    ) -> None:
        digest = _digest_key(change.customer, change.key)
        record = self._records.get(digest)
        claim = None if record is None else Claim(*_RECORD.unpack(record))
        # The sweep only saves memory. This check decides whether a claim has
        # expired, with the same result on all control hosts.
        if claim is not None and claim.expiry <= _highest_expired(stamped_ms):
            self._remove(claim)
            claim = None
        if claim is None and change.action == Action.TAKE:
            claim = self._take(digest, change, stamped_ms)
            self._fill_result(result, Verdict.DONE, claim)
        elif claim is None:
            result.verdict = Verdict.NOT_HELD
        elif change.action == Action.TAKE:
            self._fill_result(result, self._compare(claim, change), claim)
        elif change.action == Action.TAKE_OVER:
            claim, verdict = self._take_over(claim, change)
            self._fill_result(result, verdict, claim)
        elif self._attempt_name(claim) != change.attempt:
            self._fill_result(result, Verdict.NOT_HELD, claim)
        else:
            self._fill_result(result, Verdict.DONE, claim)
            self._finish_or_release(claim, change)

    def _fill_result(
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

    def _remove(self, claim: Claim) -> None:
        self._records.remove(claim.digest)
        self._sources.release(claim.source)

    def _take(
        self,
        digest: bytes,
        change: commands_pb2.ClaimChange,
        stamped_ms: int,
    ) -> Claim:
        expires_ms = min(stamped_ms + change.kept_ms, MAXIMUM_EXPIRY_MS)
        source, number = self._acquire_source(change)
        body_digest = _truncate_digest(change.body_digest)
        claim = Claim(digest, body_digest, expires_ms << 1, source, number)
        self._records.add(_RECORD.pack(*claim))
        return claim

    def _take_over(
        self, claim: Claim, change: commands_pb2.ClaimChange
    ) -> tuple[Claim, VerdictValue]:
        if claim.body_digest != _truncate_digest(change.body_digest):
            return claim, Verdict.BODY_DIFFERS
        if claim.is_finished:
            return claim, Verdict.FINISHED
        name = self._attempt_name(claim)
        if name not in (change.expected_attempt, change.attempt):
            return claim, Verdict.HELD
        source, number = self._acquire_source(change)
        self._sources.release(claim.source)
        claim = claim._replace(source=source, number=number)
        self._records.replace(_RECORD.pack(*claim))
        return claim, Verdict.DONE

    def _finish_or_release(
        self, claim: Claim, change: commands_pb2.ClaimChange
    ) -> None:
        """Release or finish a claim; a finished claim doesn't change."""
        if claim.is_finished:
            return
        if change.action == Action.RELEASE:
            self._remove(claim)
        elif change.action == Action.FINISH:
            finished = claim._replace(expiry=claim.expiry | 1)
            self._records.replace(_RECORD.pack(*finished))

    def _compare(
        self, claim: Claim, change: commands_pb2.ClaimChange
    ) -> VerdictValue:
        if claim.body_digest != _truncate_digest(change.body_digest):
            return Verdict.BODY_DIFFERS
        if self._attempt_name(claim) == change.attempt:
            return Verdict.DONE
        return Verdict.FINISHED if claim.is_finished else Verdict.HELD

    def _acquire_source(
        self, change: commands_pb2.ClaimChange
    ) -> tuple[int, int]:
        run, number = sources.split_name(change.attempt)
        source = sources.Source(run, change.owner, change.owner_address)
        return self._sources.acquire(source), number

    def _attempt_name(self, claim: Claim) -> str:
        run = self._sources.get(claim.source).run
        return sources.join_name(run, claim.number)

    def dump(self) -> abc.Iterator[bytes]:
        """Return the complete table for a snapshot, in chunks."""
        sweep = _SWEEP.pack(self._sweep_shard_index, self._unswept_changes)
        return _prefix_chunks(
            sweep, self._sources.dump(), self._records.dump()
        )

    def load_chunk(self, chunk: bytes) -> None:
        """Load one chunk of a snapshot into an empty table.

        :param chunk: a chunk returned by :meth:`dump`; all must be loaded,
            in order.
        """
        kind, data = chunk[:1], chunk[1:]
        if kind == _SWEEP_CHUNK:
            self._sweep_shard_index, self._unswept_changes = _SWEEP.unpack(
                data
            )
            self._records.clear()
        elif kind == _SOURCES_CHUNK:
            self._sources.load_chunk(data)
        else:
            self._records.load_chunk(data)


def _prefix_chunks(
    sweep: bytes,
    source_chunks: abc.Iterator[bytes],
    record_chunks: abc.Iterator[bytes],
) -> abc.Iterator[bytes]:
    yield _SWEEP_CHUNK + sweep
    for chunk in source_chunks:
        yield _SOURCES_CHUNK + chunk
    for chunk in record_chunks:
        yield _RECORDS_CHUNK + chunk


def _highest_expired(stamped_ms: int) -> int:
    """Return the highest expiry of a claim that has expired by now."""
    return stamped_ms << 1 | 1


def _digest_key(customer: str, key: str) -> bytes:
    return hashlib.blake2b(
        customer.encode() + _SEPARATOR + key.encode(),
        digest_size=records.DIGEST_BYTES,
    ).digest()


def _truncate_digest(digest: bytes) -> bytes:
    """Return the stored bytes of a body's digest, padded if it is shorter."""
    return digest[:BODY_BYTES].ljust(BODY_BYTES, b'\0')
