"""Endpoints' streams of events, read as their next part is wanted."""

import asyncio
from collections import abc

from tornado import iostream

from filbertglade import failures
from filbertglade.requests import chunk_decoder
from filbertglade.requests import endpoint_response
from filbertglade.requests import idle_timeout

READ_BYTES = 65_536


class StreamedResponse(endpoint_response.EndpointResponse):
    """An answer in chunks, read from its connection only when asked for.

    All that has arrived is read at once, whatever number of chunks it is.

    :ivar finishing: waits for the end of an answer that was released.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        head: endpoint_response.Head,
        idle_timeout_ms: int,
        keep: abc.Callable[[iostream.IOStream], None],
    ) -> None:
        super().__init__(head)
        self._stream = stream
        self._idle_s = idle_timeout_ms / 1000
        self._keep = keep
        self._decoder = chunk_decoder.ChunkDecoder()
        self._watch = idle_timeout.IdleTimeout(stream.close)
        self.finishing: asyncio.Task[None] | None = None

    async def read(
        self, limit_s: float | None = None
    ) -> bytes | None | failures.Failure:
        """Return the next part of the body.

        :param limit_s: longest wait, in seconds, if less than the longest
            silence allowed.
        :returns: bytes; None at its whole end; or the failure.
        """
        idle_s = self._idle_s
        if limit_s is not None:
            idle_s = min(idle_s, max(limit_s, 0))
        self._watch.begin(idle_s)
        try:
            return await self._read_part()
        except iostream.StreamClosedError:
            if self._watch.has_expired:
                return failures.Failure(
                    endpoint_response.EndpointFailureReason.TIMED_OUT
                )
            return failures.Failure(
                endpoint_response.EndpointFailureReason.BROKEN
            )
        finally:
            self._watch.end()

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
        """Let the end of an answer arrive that was read as far as needed."""
        if self._decoder.is_done or self._stream.closed():
            self._settle()
        else:
            loop = asyncio.get_running_loop()
            self.finishing = loop.create_task(self._finish())

    async def _finish(self) -> None:
        self._watch.begin(endpoint_response.TRAILING_LIMIT_S)
        try:
            while isinstance(await self._read_part(), bytes):
                pass
        except iostream.StreamClosedError:
            pass
        self._settle()

    def _settle(self) -> None:
        """Keep the connection for further calls, or close it."""
        self._watch.end()
        self._watch.stop()
        decoder = self._decoder
        if decoder.is_done and not decoder.has_excess:
            self._keep(self._stream)
        else:
            self._stream.close()

    def cancel(self) -> None:
        """Close the connection, which cancels the call at the endpoint."""
        self._stream.close()
        self._watch.stop()
