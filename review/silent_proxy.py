"""A TCP proxy in front of a control host that can let one channel go silent.

It reads the frames of HTTP/2 from the host (RFC 9113, 4.1) only to know when a
call's answer has arrived but for the last frame, its trailers.
"""

import asyncio

HEADERS, DATA = 1, 0
END_STREAM = 1


class SilentProxy:
    """Passes channels on.

    :ivar is_armed: whether the next channel on which a call's answer ends goes
        silent before its last frame, for good, both ways and without a reset.
        Cleared once that has happened.
    """

    def __init__(self, ip, port, target, on_silent):
        self.ip = ip
        self._port = port
        self._target = target
        self._on_silent = on_silent
        self.is_armed = False
        self._server = None
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._pass, self.ip, self._port
        )

    def close(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _pass(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        silent = asyncio.Event()
        try:
            upstream = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        try:
            done, rest = await asyncio.wait(
                [
                    asyncio.create_task(_copy(reader, upstream[1], silent)),
                    asyncio.create_task(
                        self._copy_frames(upstream[0], writer, silent)
                    ),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
            if silent.is_set():
                # Nothing arrives any more, and nothing says so.
                await asyncio.Event().wait()
            for task in rest:
                task.cancel()
        finally:
            writer.close()
            upstream[1].close()

    async def _copy_frames(self, reader, writer, silent):
        """Pass the host's frames on."""
        has_data = set()
        try:
            while True:
                head = await reader.readexactly(9)
                length = int.from_bytes(head[:3], 'big')
                kind, flags = head[3], head[4]
                stream = int.from_bytes(head[5:9], 'big')
                body = await reader.readexactly(length)
                if kind == DATA and length:
                    has_data.add(stream)
                if (
                    self.is_armed
                    and kind == HEADERS
                    and flags & END_STREAM
                    and stream in has_data
                ):
                    silent.set()
                    self._on_silent(self)
                    return
                writer.write(head + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return


async def _copy(reader, writer, silent):
    try:
        while data := await reader.read(65536):
            if silent.is_set():
                await asyncio.Event().wait()
            writer.write(data)
            await writer.drain()
    except ConnectionError:
        return
