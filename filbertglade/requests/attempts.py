"""Attempts of a node at claimed requests, and their kept responses."""

import collections
import enum

from filbertglade import clock
from filbertglade.requests import dispatch_permission
from filbertglade.requests import shared_response
from filbertglade.settings import model

MAX_ABANDONED_ATTEMPTS = 65_536
# One response may use at most this part of `kept_answer_bytes`, so that at
# least this many responses are kept.
MIN_KEPT_RESPONSES = 64


class AttemptState(enum.Enum):
    """Whether an attempt was dispatched to an endpoint."""

    # It was not dispatched yet.
    PENDING = 'pending'
    # It was dispatched and may have run.
    DISPATCHED = 'dispatched'
    # It was not dispatched and never will be.
    ABANDONED = 'abandoned'


class Attempt(dispatch_permission.DispatchPermission):
    """One attempt of this node to run a claimed request.

    :ivar name: unique over all nodes and their runs.
    :ivar body_digest: distinguishes a retry from another request with the
        same key.
    :ivar state: whether it was dispatched.
    :ivar response: its response, shared by all callers that wait for it.
    :ivar ended_ms: local clock when it ended.
    """

    def __init__(
        self,
        name: str,
        body_digest: bytes,
        response: shared_response.SharedResponse,
    ) -> None:
        self.name = name
        self.body_digest = body_digest
        self.response = response
        self.state = AttemptState.PENDING
        self.ended_ms = 0
        self._dispatch_until_ms = 0

    def set_dispatch_deadline(self, dispatch_until_ms: int) -> None:
        """Allow the dispatch, as this attempt holds the claim now.

        :param dispatch_until_ms: local clock until which it may be dispatched.
        """
        self._dispatch_until_ms = dispatch_until_ms

    def begin_dispatch(self) -> bool:
        """Mark the attempt as dispatched if it still may be.

        :returns: whether it may be sent; once False, it stays False.
        """
        if self.state is AttemptState.DISPATCHED:
            return True
        if clock.now_ms() > self._dispatch_until_ms:
            self.state = AttemptState.ABANDONED
        if self.state is AttemptState.ABANDONED:
            return False
        self.state = AttemptState.DISPATCHED
        return True

    def undo_dispatch(self) -> None:
        """Record that an endpoint certainly did not run it."""
        if self.state is AttemptState.DISPATCHED:
            self.state = AttemptState.PENDING

    def abandon(self) -> bool:
        """Rule out a dispatch for good, unless one has begun.

        :returns: whether the attempt is abandoned.
        """
        if self.state is AttemptState.PENDING:
            self.state = AttemptState.ABANDONED
        return self.state is AttemptState.ABANDONED


class AttemptRegistry:
    """The attempts of this node process, bounded in number and bytes."""

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

        :param body_digest: the digest of the request.
        """
        self._count += 1
        response = shared_response.SharedResponse(
            self._limits.kept_answer_bytes // MIN_KEPT_RESPONSES,
            self._account_bytes,
        )
        name = f'{self._run}-{self._count}'
        attempt = Attempt(name, body_digest, response)
        self._running[name] = attempt
        return attempt

    def archive(self, attempt: Attempt) -> None:
        """Keep an attempt that has ended, for later joins.

        :param attempt: the attempt.
        """
        if self._running.pop(attempt.name, None) is None:
            return
        attempt.ended_ms = clock.now_ms()
        if attempt.state is AttemptState.ABANDONED:
            self._abandoned[attempt.name] = attempt
            if len(self._abandoned) > MAX_ABANDONED_ATTEMPTS:
                self._abandoned.popitem(last=False)
            return
        if attempt.response.is_retained:
            self._ended[attempt.name] = attempt
        else:
            attempt.response.drop_body()
        self._forget_old()

    def discard(self, attempt: Attempt) -> None:
        """Remove an attempt that certainly never held a claim.

        :param attempt: the attempt.
        """
        attempt.abandon()
        self._running.pop(attempt.name, None)

    def find(self, name: str) -> Attempt | None:
        """Return an attempt.

        :param name: its name.
        :returns: None if this node process does not have it (any more).
        """
        self._forget_old()
        for attempts in (self._running, self._ended, self._abandoned):
            found = attempts.get(name)
            if found is not None:
                return found
        return None

    def _account_bytes(self, change_bytes: int) -> bool:
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
        attempt.response.drop_body()
