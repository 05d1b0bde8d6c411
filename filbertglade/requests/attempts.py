"""A node's attempts at claimed requests, and the answers it keeps."""

import collections
import enum

from filbertglade import clock
from filbertglade.requests import dispatch_permission
from filbertglade.requests import shared_response
from filbertglade.settings import model

REMEMBERED_ABANDONED = 65_536
KEPT_ANSWERS_AT_LEAST = 64


class AttemptState(enum.Enum):
    """Whether an attempt may have run."""

    # It may yet be dispatched.
    PENDING = 'pending'
    # It was dispatched and may have run.
    DISPATCHED = 'dispatched'
    # It was never dispatched, and never will be.
    ABANDONED = 'abandoned'


class Attempt(dispatch_permission.DispatchPermission):
    """One try of this node to run a claimed request.

    :ivar name: unique over all nodes and their runs.
    :ivar body_digest: tells a resend from another request.
    :ivar state: whether it may have run.
    :ivar answer: its answer, for all who wait for it.
    """

    def __init__(
        self,
        name: str,
        body_digest: bytes,
        answer: shared_response.SharedResponse,
    ) -> None:
        self.name = name
        self.body_digest = body_digest
        self.answer = answer
        self.state = AttemptState.PENDING
        self.ended_ms = 0
        self._valid_until_ms = 0

    def hold_until(self, valid_until_ms: int) -> None:
        """Note that the claim is this attempt's.

        :param valid_until_ms: local clock until which it may be dispatched.
        """
        self._valid_until_ms = valid_until_ms

    def begin(self) -> bool:
        """Ask for the right to dispatch it.

        :returns: whether it may be sent; False for good once it was.
        """
        if self.state is AttemptState.DISPATCHED:
            return True
        if clock.now_ms() > self._valid_until_ms:
            self.state = AttemptState.ABANDONED
        if self.state is AttemptState.ABANDONED:
            return False
        self.state = AttemptState.DISPATCHED
        return True

    def undo(self) -> None:
        """Note that its dispatch certainly did not run."""
        if self.state is AttemptState.DISPATCHED:
            self.state = AttemptState.PENDING

    def abandon(self) -> bool:
        """Promise never to dispatch it.

        :returns: whether that can be promised.
        """
        if self.state is AttemptState.PENDING:
            self.state = AttemptState.ABANDONED
        return self.state is AttemptState.ABANDONED


class AttemptRegistry:
    """The attempts of this run of the node, bounded in number and bytes."""

    def __init__(self, settings: model.NodeSettings, run: str) -> None:
        self._limits = settings.limits
        self._run = run
        self._count = 0
        self._bytes = 0
        self._running: dict[str, Attempt] = {}
        self._ended: collections.OrderedDict[str, Attempt] = (
            collections.OrderedDict()
        )
        self._abandoned: collections.OrderedDict[str, Attempt] = (
            collections.OrderedDict()
        )

    def create(self, body_digest: bytes) -> Attempt:
        """Return a new attempt.

        :param body_digest: the request's digest.
        """
        self._count += 1
        answer = shared_response.SharedResponse(
            self._limits.kept_answer_bytes // KEPT_ANSWERS_AT_LEAST,
            self._account,
        )
        name = f'{self._run}-{self._count}'
        attempt = Attempt(name, body_digest, answer)
        self._running[name] = attempt
        return attempt

    def settle(self, attempt: Attempt) -> None:
        """Keep an attempt that has ended, for those who ask for it.

        :param attempt: the attempt.
        """
        if self._running.pop(attempt.name, None) is None:
            return
        attempt.ended_ms = clock.now_ms()
        if attempt.state is AttemptState.ABANDONED:
            self._abandoned[attempt.name] = attempt
            if len(self._abandoned) > REMEMBERED_ABANDONED:
                self._abandoned.popitem(last=False)
            return
        if attempt.answer.is_kept:
            self._ended[attempt.name] = attempt
        else:
            attempt.answer.forget()
        self._forget_old()

    def discard(self, attempt: Attempt) -> None:
        """Forget an attempt that certainly never held a claim.

        :param attempt: the attempt.
        """
        attempt.abandon()
        self._running.pop(attempt.name, None)

    def find(self, name: str) -> Attempt | None:
        """Return an attempt.

        :param name: its name.
        :returns: None if this run of the node does not remember it.
        """
        self._forget_old()
        for attempts in (self._running, self._ended, self._abandoned):
            found = attempts.get(name)
            if found is not None:
                return found
        return None

    def _account(self, change_bytes: int) -> bool:
        self._bytes += change_bytes
        limit_bytes = self._limits.kept_answer_bytes
        while change_bytes > 0 and self._bytes > limit_bytes and self._ended:
            self._forget_oldest()
        return self._bytes <= limit_bytes

    def _forget_old(self) -> None:
        oldest_ms = clock.now_ms() - self._limits.kept_answer_ms
        while self._ended:
            attempt = next(iter(self._ended.values()))
            if attempt.ended_ms >= oldest_ms:
                return
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        _, attempt = self._ended.popitem(last=False)
        attempt.answer.forget()
