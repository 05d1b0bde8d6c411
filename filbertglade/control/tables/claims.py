"""Claims of non-idempotent requests."""

import collections
import dataclasses

from filbertglade.control.tables import base
from filbertglade.inner import commands_pb2

Action = commands_pb2.ClaimChange
Verdict = commands_pb2.ClaimResult


@dataclasses.dataclass(slots=True)
class Claim:
    """One idempotency key in use.

    :param body_digest: digest of the body it was first used with.
    :param attempt: the attempt that holds it.
    :param owner: the node that owns the attempt.
    :param owner_address: that node's inner address.
    :param finished: whether the request has its final outcome.
    :param expires_ms: log clock at which the claim is forgotten.
    """

    body_digest: bytes
    attempt: str
    owner: str
    owner_address: str
    finished: bool
    expires_ms: int


class ClaimTable(base.Table):
    """Claims by customer and key, in the order in which they expire."""

    def __init__(self) -> None:
        self._claims: collections.OrderedDict[tuple[str, str], Claim] = (
            collections.OrderedDict()
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

    def _expire(self, stamped_ms: int) -> None:
        while self._claims:
            key, claim = next(iter(self._claims.items()))
            if claim.expires_ms > stamped_ms:
                return
            del self._claims[key]

    def _apply_one(
        self, change: commands_pb2.ClaimChange, stamped_ms: int
    ) -> commands_pb2.ClaimResult:
        key = (change.customer, change.key)
        claim = self._claims.get(key)
        if change.action == Action.TAKE:
            return self._take(key, claim, change, stamped_ms)
        if claim is None:
            return commands_pb2.ClaimResult(verdict=Verdict.NOT_HELD)
        if change.action == Action.TAKE_OVER:
            return _take_over(claim, change)
        if claim.attempt != change.attempt:
            return _result(Verdict.NOT_HELD, claim)
        if change.action == Action.RELEASE and not claim.finished:
            del self._claims[key]
        elif change.action == Action.FINISH:
            claim.finished = True
        return _result(Verdict.DONE, claim)

    def _take(
        self,
        key: tuple[str, str],
        claim: Claim | None,
        change: commands_pb2.ClaimChange,
        stamped_ms: int,
    ) -> commands_pb2.ClaimResult:
        if claim is None:
            claim = Claim(
                body_digest=change.body_digest,
                attempt=change.attempt,
                owner=change.owner,
                owner_address=change.owner_address,
                finished=False,
                expires_ms=stamped_ms + change.kept_ms,
            )
            self._claims[key] = claim
            return _result(Verdict.DONE, claim)
        if claim.body_digest != change.body_digest:
            return _result(Verdict.BODY_DIFFERS, claim)
        if claim.attempt == change.attempt:
            return _result(Verdict.DONE, claim)
        return _result(
            Verdict.FINISHED if claim.finished else Verdict.HELD, claim
        )

    def dump(self) -> bytes:
        """Return the whole table for a snapshot."""
        parts = []
        for (customer, key), claim in self._claims.items():
            change = commands_pb2.ClaimChange(
                action=Action.FINISH if claim.finished else Action.TAKE,
                customer=customer,
                key=key,
                body_digest=claim.body_digest,
                attempt=claim.attempt,
                owner=claim.owner,
                owner_address=claim.owner_address,
                kept_ms=claim.expires_ms,
            )
            parts.append(change)
        return commands_pb2.ClaimChanges(changes=parts).SerializeToString()

    def load(self, data: bytes) -> None:
        """Replace the whole table by a snapshot's.

        :param data: what :meth:`dump` gave.
        """
        self._claims.clear()
        for change in commands_pb2.ClaimChanges.FromString(data).changes:
            self._claims[change.customer, change.key] = Claim(
                body_digest=change.body_digest,
                attempt=change.attempt,
                owner=change.owner,
                owner_address=change.owner_address,
                finished=change.action == Action.FINISH,
                expires_ms=change.kept_ms,
            )


def _take_over(
    claim: Claim, change: commands_pb2.ClaimChange
) -> commands_pb2.ClaimResult:
    if claim.body_digest != change.body_digest:
        return _result(Verdict.BODY_DIFFERS, claim)
    if claim.finished:
        return _result(Verdict.FINISHED, claim)
    if claim.attempt not in (change.expected_attempt, change.attempt):
        return _result(Verdict.HELD, claim)
    claim.attempt = change.attempt
    claim.owner = change.owner
    claim.owner_address = change.owner_address
    return _result(Verdict.DONE, claim)


def _result(
    verdict: commands_pb2.ClaimResult.Verdict, claim: Claim
) -> commands_pb2.ClaimResult:
    return commands_pb2.ClaimResult(
        verdict=verdict,
        attempt=claim.attempt,
        owner=claim.owner,
        owner_address=claim.owner_address,
    )
