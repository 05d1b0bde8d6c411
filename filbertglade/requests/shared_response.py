"""A response that several callers may read, during and after the run."""

import asyncio
from collections import abc

from tornado import httputil

from filbertglade.requests import outcomes
from filbertglade.requests import response_source


class SharedResponse:
    """A response in memory, bounded in size, with its readers.

    ``account`` is called with each change of its size, in bytes, and returns
    whether all responses together are within their limit.

    :ivar head: the status and headers, once known.
    :ivar is_ended: whether the response has ended.
    :ivar refusal: why it is incomplete; None if it is complete.
    :ivar is_retained: whether all parts received are still in memory.
    """

    def __init__(
        self, limit_bytes: int, account: abc.Callable[[int], bool]
    ) -> None:
        self._limit_bytes = limit_bytes
        self._account = account
        self._parts: list[bytes] = []
        self._dropped_count = 0
        self._bytes = 0
        self._readers: set[ResponseReader] = set()
        self._changed = asyncio.Event()
        self.head: tuple[int, httputil.HTTPHeaders] | None = None
        self.is_ended = False
        self.refusal: outcomes.Refusal | None = None
        self.is_retained = True

    @property
    def has_readers(self) -> bool:
        """Whether it has any reader."""
        return bool(self._readers)

    def set_head(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Set the head.

        :param status: the HTTP status.
        :param headers: the endpoint's headers.
        """
        self.head = (status, headers)
        self._notify()

    async def add(self, chunk: bytes) -> None:
        """Add a part of the body; wait for slow readers if memory is short.

        :param chunk: the part.
        """
        self._parts.append(chunk)
        self._bytes += len(chunk)
        self._notify()
        has_capacity = self._account(len(chunk))
        if self._bytes > self._limit_bytes or not has_capacity:
            self.is_retained = False
        while not self.is_retained:
            self._drop_read_parts()
            if self._bytes <= self._limit_bytes:
                return
            await self.wait()

    def end(self, refusal: outcomes.Refusal | None) -> None:
        """End the response; only the first call counts.

        :param refusal: why it is incomplete; None if it is complete.
        """
        if not self.is_ended:
            self.is_ended = True
            self.refusal = refusal
            self._notify()

    def open_reader(self) -> 'ResponseReader | None':
        """Return a new reader that begins at the start of the response.

        :returns: None if its start is no longer in memory.
        """
        if not self.is_retained:
            return None
        reader = ResponseReader(self)
        self._readers.add(reader)
        return reader

    def remove_reader(self, reader: 'ResponseReader') -> None:
        """Remove a reader.

        :param reader: the reader.
        """
        self._readers.discard(reader)
        if not self.is_retained:
            self._drop_read_parts()
        self._notify()

    def drop_body(self) -> None:
        """Allow no further readers, and drop what all readers have read."""
        self.is_retained = False
        self._drop_read_parts()

    def find_part(self, position: int) -> bytes | None:
        """Return a part of the body.

        :param position: its index; earlier parts may have been dropped.
        :returns: None if it was not received yet.
        """
        index = position - self._dropped_count
        return self._parts[index] if index < len(self._parts) else None

    def note_read(self) -> None:
        """Notify waiting writers that a reader has advanced."""
        if not self.is_retained:
            self._notify()

    async def wait(self) -> None:
        """Wait for the next change of the response or its readers."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _drop_read_parts(self) -> None:
        positions = [reader.position for reader in self._readers]
        total = self._dropped_count + len(self._parts)
        count = min(positions, default=total) - self._dropped_count
        if count > 0:
            dropped_bytes = sum(map(len, self._parts[:count]))
            self._bytes -= dropped_bytes
            self._account(-dropped_bytes)
            del self._parts[:count]
            self._dropped_count += count


class ResponseReader(response_source.ResponseSource):
    """One reader of a shared response.

    :ivar position: the number of parts read.
    """

    def __init__(self, shared: SharedResponse) -> None:
        self._shared = shared
        self.position = 0
        self.status = 0
        self.headers = httputil.HTTPHeaders()

    async def wait_head(self) -> outcomes.Refusal | None:
        """Wait for the head.

        :returns: None once it is received; or why there is none.
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

        :returns: bytes; None after a complete body; or the refusal that
            tells why the body is incomplete.
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
        """Stop reading."""
        self._shared.remove_reader(self)
