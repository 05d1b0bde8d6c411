"""Documents that a control host is accepting, by their text's digest."""

import asyncio
from collections import abc
import functools
import typing

from filbertglade import tasks

Outcome = typing.TypeVar('Outcome')
Accept = abc.Callable[
    [asyncio.Event], abc.Coroutine[typing.Any, typing.Any, Outcome]
]


class _Pending(typing.Generic[Outcome]):
    """A document that is being accepted.

    :ivar checked: set once it was checked, and its commit begins.
    """

    __slots__ = ('digest', 'checked', 'task')

    def __init__(self, digest: bytes) -> None:
        self.digest = digest
        self.checked = asyncio.Event()
        self.task: asyncio.Task[Outcome] | None = None


class PendingDocuments(typing.Generic[Outcome]):
    """Accepts each document once, however many senders send it meanwhile.

    Operators send a document again while its commit is slow. They join the
    commit in progress; it ends by itself, whichever senders leave.
    """

    def __init__(self) -> None:
        self._pending: list[_Pending[Outcome]] = []
        self._tasks = tasks.TaskGroup()

    def is_pending(self, digest: bytes) -> bool:
        """Return whether a document is being accepted.

        :param digest: digest of the document's text.
        """
        return self._find(digest) is not None

    async def join(
        self, digest: bytes, accept: Accept[Outcome], timeout_ms: int
    ) -> Outcome | None:
        """Accept a document, or join its acceptance in progress.

        :param digest: digest of the document's text.
        :param accept: accepts the document, if it isn't pending; sets
            the event when its commit begins.
        :param timeout_ms: longest wait for the commit, from when it begins
            or, if that is later, from this call.
        :returns: the outcome; None if there is none yet, or if this host is
            closing.
        :raises Exception: what ``accept`` raised.
        """
        pending = self._find(digest)
        if pending is None:
            pending = _Pending[Outcome](digest)
            self._pending.append(pending)
            pending.task = self._tasks.start(accept(pending.checked))
            pending.task.add_done_callback(
                functools.partial(self._finish, pending)
            )
        await pending.checked.wait()
        task = pending.task
        assert task is not None
        await asyncio.wait((task,), timeout=timeout_ms / 1000)
        if not task.done() or task.cancelled():
            return None
        return task.result()

    async def close(self) -> None:
        """Cancel what is in progress."""
        await self._tasks.close()

    def _find(self, digest: bytes) -> _Pending[Outcome] | None:
        for pending in self._pending:
            if pending.digest == digest:
                return pending
        return None

    def _finish(
        self, pending: _Pending[Outcome], task: asyncio.Task[Outcome]
    ) -> None:
        self._pending.remove(pending)
        pending.checked.set()
