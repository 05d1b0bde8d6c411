"""Claims of non-idempotent requests.

A claim is kept as bytes, not as an object: there may be a million of them,
and a snapshot must be able to freeze them all at once.
"""

import collections
from collections import abc
import struct

from filbertglade.control.tables import base
from filbertglade.inner import commands_pb2

Action = commands_pb2.ClaimChange
Claim = commands_pb2.ClaimChange
Verdict = commands_pb2.ClaimResult

CHUNK_BYTES = 1 << 18

_LENGTHS = struct.Struct('>II')
_SEPARATOR = b'\0'


class ClaimTable(base.Table):
    """Claims by customer and key.

    A claim is a ClaimChange whose action tells whether the request has its
    final outcome (FINISH) and whose kept_ms is the log clock at which the
    claim is forgotten.
    """

    def __init__(self) -> None:
        self._claims: dict[bytes, bytes] = {}
        # Keys taken, oldest first, by the log clock of their expiry. A key
        # that was released stays listed until then.
        self._expiries: collections.deque[tuple[int, list[bytes]]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        return len(self._claims)

    def apply(
        self, changes: commands_pb2.ClaimChanges, stamped_ms: int
    ) -> commands_pb2.ClaimResults:
        """Apply a batch of changes in order.

        :param changes: the batch.
        :param stamped_ms: log clock of the batch.
        :returns: one result a change.
        """
        self._expire(stamped_ms)
        results = [
            self._apply_one(change, stamped_ms) for change in changes.changes
        ]
        return commands_pb2.ClaimResults(results=results)

    def get(
        self, customer: str, key: str, stamped_ms: int
    ) -> commands_pb2.ClaimChange | None:
        """Return a claim.

        :param customer: the customer.
        :param key: the idempotency key.
        :param stamped_ms: the log clock.
        :returns: the claim; None if there is none, or it has expired.
        """
        return self._get(_pack_key(customer, key), stamped_ms)

    def _get(
        self, key: bytes, stamped_ms: int
    ) -> commands_pb2.ClaimChange | None:
        data = self._claims.get(key)
        if data is None:
            return None
        claim = Claim.FromString(data)
        # Removal of expired claims is no more than saving of memory: what
        # decides is this line, on every replica alike.
        return claim if claim.kept_ms > stamped_ms else None

    def _expire(self, stamped_ms: int) -> None:
        while self._expiries and self._expiries[0][0] <= stamped_ms:
            _, keys = self._expiries.popleft()
            for key in keys:
                if self._get(key, stamped_ms) is None:
                    self._claims.pop(key, None)

    def _apply_one(
        self, change: commands_pb2.ClaimChange, stamped_ms: int
    ) -> commands_pb2.ClaimResult:
        key = _pack_key(change.customer, change.key)
        claim = self._get(key, stamped_ms)
        if change.action == Action.TAKE:
            if claim is not None:
                return _compare(claim, change)
            return self._take(key, change, stamped_ms)
        if claim is None:
            return commands_pb2.ClaimResult(verdict=Verdict.NOT_HELD)
        if change.action == Action.TAKE_OVER:
            return self._take_over(key, claim, change)
        if claim.attempt != change.attempt:
            return _result(Verdict.NOT_HELD, claim)
        finished = claim.action == Action.FINISH
        if change.action == Action.RELEASE and not finished:
            del self._claims[key]
        elif change.action == Action.FINISH:
            claim.action = Action.FINISH
            self._claims[key] = claim.SerializeToString()
        return _result(Verdict.DONE, claim)

    def _take(
        self, key: bytes, change: commands_pb2.ClaimChange, stamped_ms: int
    ) -> commands_pb2.ClaimResult:
        claim = Claim(
            body_digest=change.body_digest,
            attempt=change.attempt,
            owner=change.owner,
            owner_address=change.owner_address,
            kept_ms=stamped_ms + change.kept_ms,
        )
        self._keep(key, claim.SerializeToString(), claim.kept_ms)
        return _result(Verdict.DONE, claim)

    def _keep(self, key: bytes, data: bytes, expires_ms: int) -> None:
        self._claims[key] = data
        if not self._expiries or self._expiries[-1][0] != expires_ms:
            self._expiries.append((expires_ms, []))
        self._expiries[-1][1].append(key)

    def _take_over(
        self,
        key: bytes,
        claim: commands_pb2.ClaimChange,
        change: commands_pb2.ClaimChange,
    ) -> commands_pb2.ClaimResult:
        if claim.body_digest != change.body_digest:
            return _result(Verdict.BODY_DIFFERS, claim)
        if claim.action == Action.FINISH:
            return _result(Verdict.FINISHED, claim)
        if claim.attempt not in (change.expected_attempt, change.attempt):
            return _result(Verdict.HELD, claim)
        claim.attempt = change.attempt
        claim.owner = change.owner
        claim.owner_address = change.owner_address
        self._claims[key] = claim.SerializeToString()
        return _result(Verdict.DONE, claim)

    def dump(self) -> abc.Iterator[bytes]:
        """Return the whole table for a snapshot, in parts."""
        return _join_claims(self._claims.copy())

    def load_chunk(self, chunk: bytes) -> None:
        """Add one part of a snapshot to a fresh table.

        :param chunk: a part that :meth:`dump` gave; all come in order.
        """
        position = 0
        while position < len(chunk):
            key_length, length = _LENGTHS.unpack_from(chunk, position)
            start = position + _LENGTHS.size
            middle = start + key_length
            position = middle + length
            data = chunk[middle:position]
            expires_ms = Claim.FromString(data).kept_ms
            self._keep(chunk[start:middle], data, expires_ms)


def _join_claims(claims: dict[bytes, bytes]) -> abc.Iterator[bytes]:
    chunk = bytearray()
    for key, data in claims.items():
        chunk += _LENGTHS.pack(len(key), len(data))
        chunk += key
        chunk += data
        if len(chunk) >= CHUNK_BYTES:
            yield bytes(chunk)
            chunk.clear()
    if chunk:
        yield bytes(chunk)


def _pack_key(customer: str, key: str) -> bytes:
    return customer.encode() + _SEPARATOR + key.encode()


def _compare(
    claim: commands_pb2.ClaimChange, change: commands_pb2.ClaimChange
) -> commands_pb2.ClaimResult:
    if claim.body_digest != change.body_digest:
        return _result(Verdict.BODY_DIFFERS, claim)
    if claim.attempt == change.attempt:
        return _result(Verdict.DONE, claim)
    finished = claim.action == Action.FINISH
    return _result(Verdict.FINISHED if finished else Verdict.HELD, claim)


def _result(
    verdict: commands_pb2.ClaimResult.Verdict, claim: commands_pb2.ClaimChange
) -> commands_pb2.ClaimResult:
    return commands_pb2.ClaimResult(
        verdict=verdict,
        attempt=claim.attempt,
        owner=claim.owner,
        owner_address=claim.owner_address,
    )
