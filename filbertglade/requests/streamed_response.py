"""Event streams of endpoints, read from the connection on demand."""

import asyncio
from collections import abc

from tornado import iostream

from filbertglade import failures
from filbertglade.requests import chunk_decoder
from filbertglade.requests import endpoint_response
from filbertglade.requests import idle_timeout

READ_BYTES = 65_536


class StreamedResponse(endpoint_response.EndpointResponse):
    """A response in chunked coding, read from its connection on demand.

    Each read returns all chunks that have been received, joined.

    :ivar drain_task: receives the end of a released response.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        head: endpoint_response.Head,
        idle_timeout_ms: int,
        return_connection: abc.Callable[[iostream.IOStream], None],
    ) -> None:
        super().__init__(head)
        self._stream = stream
        self._idle_timeout_s = idle_timeout_ms / 1000
        self._return_connection = return_connection
        self._decoder = chunk_decoder.ChunkDecoder()
        self._idle_timeout = idle_timeout.IdleTimeout(stream.close)
        self.drain_task: asyncio.Task[None] | None = None

    async def read(
        self, timeout_s: float | None = None
    ) -> bytes | None | failures.Failure:
        """Return the next part of the body.

        :param timeout_s: longest wait, in seconds; the idle time-out applies
            if it is shorter.
        :returns: bytes; None after a complete body; or the failure.
        """
        idle_timeout_s = self._idle_timeout_s
        if timeout_s is not None:
            idle_timeout_s = min(idle_timeout_s, max(timeout_s, 0))
        self._idle_timeout.begin(idle_timeout_s)
        try:
            return await self._read_part()
        except iostream.StreamClosedError:
            if self._idle_timeout.has_expired:
                return failures.Failure(
                    endpoint_response.EndpointFailureReason.TIMED_OUT
                )
            return failures.Failure(
                endpoint_response.EndpointFailureReason.BROKEN
            )
        finally:
            self._idle_timeout.end()

    async def _read_part(self) -> bytes | None | failures.Failure:
        decoder = self._decoder
        while not (decoder.is_done or decoder.is_broken):
            data = await self._stream.read_bytes(READ_BYTES, partial=True)
            part = decoder.feed(data)
            if part:
                return part
        if decoder.is_broken:
            return failures.Failure(
                endpoint_response.EndpointFailureReason.BROKEN
            )
        return None

    def release(self) -> None:
        """Receive the remaining end, so that the connection can be reused."""
        if self._decoder.is_done or self._stream.closed():
            self._reuse_or_close()
        else:
            loop = asyncio.get_running_loop()
            self.drain_task = loop.create_task(self._drain())

    async def _drain(self) -> None:
        self._idle_timeout.begin(endpoint_response.DRAIN_TIMEOUT_S)
        try:
            while isinstance(await self._read_part(), bytes):
                pass
        except iostream.StreamClosedError:
            pass
        self._reuse_or_close()

    def _reuse_or_close(self) -> None:
        """Return the connection to the pool if it is reusable, or close it."""
        self._idle_timeout.end()
        self._idle_timeout.stop()
        decoder = self._decoder
        if decoder.is_done and not decoder.has_excess:
            self._return_connection(self._stream)
        else:
            self._stream.close()

    def cancel(self) -> None:
        """Close the connection, which cancels the request at the endpoint."""
        self._stream.close()
        self._idle_timeout.stop()
