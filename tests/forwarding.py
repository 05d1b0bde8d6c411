"""TCP proxies between processes, which tests use to cause network faults."""

import asyncio
from collections import abc
import contextlib
import enum
import threading

CHUNK_BYTES = 65_536


class LinkState(enum.Enum):
    """What a link does with its connections."""

    # Forwards all data.
    OPEN = 'open'
    # Aborts all connections, and each new one immediately.
    CUT = 'cut'
    # Keeps connections open, and buffers data until the link is open again.
    SILENT = 'silent'


class Link:
    """A TCP proxy for the connections that one node opens to one address.

    :ivar sent_bytes: bytes that the node sent.
    :ivar returned_bytes: bytes that were sent back to it.
    """

    def __init__(self, source: str, target: str, address: str) -> None:
        self.source = source
        self.target = target
        self.address = ''
        self.sent_bytes = 0
        self.returned_bytes = 0
        self._destination = address
        self._state = LinkState.OPEN
        self._opened = asyncio.Event()
        self._opened.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    def set_state(self, state: LinkState) -> None:
        self._state = state
        if state == LinkState.OPEN:
            self._opened.set()
        else:
            self._opened.clear()
        if state == LinkState.CUT:
            for writer in self._writers:
                writer.transport.abort()
            for task in self._tasks:
                task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._writers.add(writer)
        try:
            if self._state != LinkState.CUT:
                await self._opened.wait()
                await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._destination.split(':')
        target_reader, target_writer = await asyncio.open_connection(
            host, int(port)
        )
        self._writers.add(target_writer)
        copies = [
            asyncio.create_task(
                self._copy(reader, target_writer, self._count_sent)
            ),
            asyncio.create_task(
                self._copy(target_reader, writer, self._count_returned)
            ),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    def _count_sent(self, count: int) -> None:
        self.sent_bytes += count

    def _count_returned(self, count: int) -> None:
        self.returned_bytes += count

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        count_bytes: abc.Callable[[int], None],
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                count_bytes(len(chunk))
                await self._opened.wait()
                writer.write(chunk)
                await writer.drain()


class Links:
    """All links of a cluster, on an event loop in a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._links: dict[tuple[str, str], Link] = {}
        self._thread.start()

    def add(self, source: str, target: str, address: str) -> str:
        """Start a link to an address; return the link's own address."""
        link = Link(source, target, address)
        asyncio.run_coroutine_threadsafe(link.listen(), self._loop).result()
        self._links[source, target] = link
        return link.address

    def count_bytes(self, name: str) -> tuple[int, int]:
        """Return how many bytes a node has sent and received."""
        out = back = 0
        for (source, target), link in self._links.items():
            if source == name:
                out, back = out + link.sent_bytes, back + link.returned_bytes
            if target == name:
                out, back = out + link.returned_bytes, back + link.sent_bytes
        return out, back

    def set_between(self, one: str, other: str, state: LinkState) -> None:
        """Set the state of the links between two nodes, in both directions."""
        for nodes in ((one, other), (other, one)):
            if nodes in self._links:
                self._loop.call_soon_threadsafe(
                    self._links[nodes].set_state, state
                )

    def isolate(self, name: str, state: LinkState) -> None:
        """Set the state of every link from and to a node."""
        others = {node for nodes in self._links for node in nodes} - {name}
        for other in others:
            self.set_between(name, other, state)

    def open_all(self) -> None:
        """Open every link."""
        for one, other in self._links:
            self.set_between(one, other, LinkState.OPEN)

    def close(self) -> None:
        asyncio.run_coroutine_threadsafe(
            self._stop_tasks(), self._loop
        ).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _stop_tasks(self) -> None:
        """End every connection, and the tasks that serve them."""
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
