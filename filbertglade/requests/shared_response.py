"""An answer that several callers may follow while it arrives, and after."""

import asyncio
from collections import abc

from tornado import httputil

from filbertglade.requests import outcomes
from filbertglade.requests import response_source


class SharedResponse:
    """An answer in memory, bounded, with those who follow it.

    ``account`` is told of each change of its size, in bytes, and returns
    whether there is room for all answers.

    :ivar head: the status and headers, once known.
    :ivar is_ended: whether nothing more will come.
    :ivar refusal: why it is not whole, if it ended so.
    :ivar is_kept: whether all of it is still in memory.
    """

    def __init__(
        self, limit_bytes: int, account: abc.Callable[[int], bool]
    ) -> None:
        self._limit_bytes = limit_bytes
        self._account = account
        self._parts: list[bytes] = []
        self._dropped = 0
        self._bytes = 0
        self._followers: set[ResponseReader] = set()
        self._changed = asyncio.Event()
        self.head: tuple[int, httputil.HTTPHeaders] | None = None
        self.is_ended = False
        self.refusal: outcomes.Refusal | None = None
        self.is_kept = True

    @property
    def has_followers(self) -> bool:
        """Whether anybody follows."""
        return bool(self._followers)

    def set_head(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Give the head.

        :param status: the HTTP status.
        :param headers: the endpoint's headers.
        """
        self.head = (status, headers)
        self._notify()

    async def add(self, chunk: bytes) -> None:
        """Give a part of the body; wait for slow followers of a long one.

        :param chunk: the part.
        """
        self._parts.append(chunk)
        self._bytes += len(chunk)
        self._notify()
        has_room = self._account(len(chunk))
        if self._bytes > self._limit_bytes or not has_room:
            self.is_kept = False
        while not self.is_kept:
            self._drop_read()
            if self._bytes <= self._limit_bytes:
                return
            await self.wait()

    def end(self, refusal: outcomes.Refusal | None) -> None:
        """End the answer; only the first call counts.

        :param refusal: why it is not whole; None if it is.
        """
        if not self.is_ended:
            self.is_ended = True
            self.refusal = refusal
            self._notify()

    def follow(self) -> 'ResponseReader | None':
        """Return a new follower, from the answer's start.

        :returns: None if its start is no longer in memory.
        """
        if not self.is_kept:
            return None
        follower = ResponseReader(self)
        self._followers.add(follower)
        return follower

    def leave(self, follower: 'ResponseReader') -> None:
        """Let a follower go.

        :param follower: who follows no longer.
        """
        self._followers.discard(follower)
        if not self.is_kept:
            self._drop_read()
        self._notify()

    def forget(self) -> None:
        """Drop the body of an answer that nobody may follow any more."""
        self.is_kept = False
        self._drop_read()

    def find_part(self, position: int) -> bytes | None:
        """Return a part of the body.

        :param position: its position; parts before it are read.
        :returns: None if it is yet to come.
        """
        place = position - self._dropped
        return self._parts[place] if place < len(self._parts) else None

    def note_read(self) -> None:
        """Note that a follower has read on."""
        if not self.is_kept:
            self._notify()

    async def wait(self) -> None:
        """Wait until something has changed."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _drop_read(self) -> None:
        positions = [follower.position for follower in self._followers]
        total = self._dropped + len(self._parts)
        count = min(positions, default=total) - self._dropped
        if count > 0:
            dropped_bytes = sum(map(len, self._parts[:count]))
            self._bytes -= dropped_bytes
            self._account(-dropped_bytes)
            del self._parts[:count]
            self._dropped += count


class ResponseReader(response_source.ResponseSource):
    """One reader of a shared answer.

    :ivar position: how many parts it has read.
    """

    def __init__(self, shared: SharedResponse) -> None:
        self._shared = shared
        self.position = 0
        self.status = 0
        self.headers = httputil.HTTPHeaders()

    async def wait_head(self) -> outcomes.Refusal | None:
        """Wait for the head.

        :returns: None once it is there; or why there is none.
        """
        shared = self._shared
        while shared.head is None:
            if shared.is_ended:
                self.close()
                return shared.refusal
            await shared.wait()
        self.status, self.headers = shared.head
        return None

    async def read(self) -> bytes | None | outcomes.Refusal:
        """Return the next part of the body.

        :returns: bytes; None at its whole end; or why it is not whole.
        """
        shared = self._shared
        while True:
            part = shared.find_part(self.position)
            if part is not None:
                self.position += 1
                shared.note_read()
                return part
            if shared.is_ended:
                self.close()
                return shared.refusal
            await shared.wait()

    def close(self) -> None:
        """Follow no longer."""
        self._shared.leave(self)
