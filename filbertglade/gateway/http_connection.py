"""A connection of the small HTTP server."""

import asyncio
from collections import abc
import typing

import httptools

from filbertglade import clock
from filbertglade.gateway import http_bounds
from filbertglade.gateway import http_messages
from filbertglade.observability import logs

log = logs.get_log(__name__)

# Longest head of a request, in bytes.
MAX_HEAD_BYTES = 65_536
# Headers that say how a body is sent.
FRAMING_HEADERS = (b'content-length', b'expect', b'transfer-encoding')


class Connection(http_bounds.BoundedConnection):
    """One connection, whose requests are served one after the other.

    :param server: the server.
    """

    def buffer_updated(self, nbytes: int) -> None:
        """Read a part of a request.

        :param nbytes: its length.
        """
        if self._is_closing:
            self._discarded_bytes += nbytes
            if self._discarded_bytes > self._max_discarded_bytes:
                self._end_discarding()
            return
        data = bytes(memoryview(self._server.buffer)[:nbytes])
        if not self._is_head_complete:
            self._head_bytes += nbytes
        if self._account is not None:
            self._account.received_bytes += nbytes
        try:
            self._parse(data)
        except httptools.HttpParserCallbackError as error:
            # Not kept in a variable: its traceback refers to this frame, and
            # so to what was read, until the next garbage collection.
            self._refuse_for(error.__context__)
            return
        except httptools.HttpParserError:
            self._refuse(400)
            return
        if not self._is_head_complete and self._head_bytes > MAX_HEAD_BYTES:
            self._refuse(431)
            return
        self._charge()
        self._check_room()

    def _refuse_for(self, cause: BaseException | None) -> None:
        """Refuse a request for what the parser's callbacks have raised.

        :param cause: what they have raised.
        """
        if isinstance(cause, _Refused):
            self._refuse(cause.status, cause.reason, cause.body)
        else:
            self._refuse(400)

    def _end_discarding(self) -> None:
        """Read a refused connection no further."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._serving is None and not self._waiting:
            transport.abort()
        else:
            transport.pause_reading()

    def pause_writing(self) -> None:
        """Prepare no more responses until the sent ones are taken."""
        self._is_blocked = True
        if self._account is not None:
            self._account.begin(self._evict)

    def resume_writing(self) -> None:
        """Serve what has waited meanwhile."""
        self._is_blocked = False
        self._used_ms = clock.now_ms()
        self._go_on()
        self._charge()

    def _parse(self, data: bytes) -> None:
        """Read requests.

        One that offers another protocol, which is never taken, is read again
        without the offer: the parser skips its body.
        """
        while not self._is_closing:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                method = self._parser.get_method()
                if method == b'CONNECT':
                    self._refuse(405)
                    return
                head = [method + b' ' + self._target + b' HTTP/1.1']
                head += [*self._framing, b'', b'']
                data = b'\r\n'.join(head) + data[offer.args[0] :]
                self._parser = httptools.HttpRequestParser(self)

    # Called by the parser

    def on_message_begin(self) -> None:
        """Start a request."""
        head_bytes = self._head_bytes
        self._start_message()
        self._head_bytes = head_bytes
        if self._account is not None and self._serving is None:
            self._account.begin(self._evict)

    def on_url(self, target: bytes) -> None:
        """Read a part of the target.

        :param target: the part.
        """
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read a header.

        :param name: its name.
        :param value: its value.
        """
        lower_name = name.lower()
        if lower_name in FRAMING_HEADERS:
            self._framing.append(name + b': ' + value)
        if lower_name == b'expect':
            self._expects_continue = value.lower() == b'100-continue'
        elif lower_name == b'content-length':
            # The parser refuses what is no number.
            self._length = int(value)
            if self._length > self._find_body_limit():
                raise _Refused(413)

    def on_headers_complete(self) -> None:
        """Let the sender go on with the body if it waits for that."""
        self._is_head_complete = True
        if self._parser.should_upgrade():
            return
        if self._place is not None:
            self._place.begin()
        if self._length > http_bounds.SHORT_BODY_BYTES:
            self._take_turn()
        find_check = self._server.find_check
        if find_check is not None:
            self._check = find_check(
                self._parser.get_method(), self._target, self._length
            )
            self._check_body()
        if not self._waits_for_turn:
            self._send_continue()

    def _check_body(self) -> None:
        """Refuse a body as soon as what has arrived shows that it's invalid.

        :raises _Refused: it is invalid.
        """
        if self._check is None:
            return
        refusal = self._check.feed(self._body)
        if refusal is not None:
            raise _Refused(400, 'body invalid', refusal)

    def _find_body_limit(self) -> int:
        return self._server.find_body_limit(
            self._parser.get_method(), self._target
        )

    def on_body(self, data: bytes) -> None:
        """Read a part of the body.

        :param data: the part.
        """
        self._body += data
        size = len(self._body)
        if size > self._find_body_limit():
            raise _Refused(413)
        if size > http_bounds.SHORT_BODY_BYTES:
            self._take_turn()
        self._check_body()

    def on_message_complete(self) -> None:
        """Serve the request, after those before it."""
        if self._parser.should_upgrade():
            return
        request = http_messages.Request(
            self._parser.get_method().decode('latin-1'),
            self._target.decode('latin-1'),
            bytes(self._body),
        )
        keeps_connection = self._parser.should_keep_alive()
        self._start_message()
        self._leave_turn()
        if self._is_closing:
            return
        self._used_ms = clock.now_ms()
        self._waiting.append((request, keeps_connection))
        self._waiting_bytes += http_bounds.REQUEST_BYTES + len(request.body)
        self._go_on()

    # Serving

    def _go_on(self) -> None:
        """Serve what can be served now; read more unless requests wait."""
        self._serve_waiting()
        if not self._is_closing:
            self._update_reading()

    def _serve_waiting(self) -> None:
        """Serve a request unless one runs or its answers aren't taken.

        Others that wait are served in later rounds of the event loop, so that
        a client that sends many at once doesn't block the process.
        """
        if (
            self._waiting
            and self._serving is None
            and not self._is_blocked
            and not self._is_yielding
        ):
            request, keeps_connection = self._waiting.popleft()
            size = http_bounds.REQUEST_BYTES + len(request.body)
            self._waiting_bytes -= size
            try:
                response = self._server.handle(request)
            except Exception as error:
                log.error('request.failed', target=request.target, error=error)
                response = http_messages.Response(500)
            if isinstance(response, http_messages.Response):
                self._send(request, response, keeps_connection)
                self._is_yielding = True
                asyncio.get_running_loop().call_soon(self._end_yield)
                return
            self._serving_bytes = size
            if self._account is not None:
                # A request that runs isn't refused any more.
                self._account.evict = None
            self._serving = asyncio.get_running_loop().create_task(
                self._serve(request, response, keeps_connection)
            )

    def _end_yield(self) -> None:
        self._is_yielding = False
        if self._transport is not None and self._waiting:
            self._go_on()
            self._charge()

    async def _serve(
        self,
        request: http_messages.Request,
        responding: abc.Coroutine[
            typing.Any, typing.Any, http_messages.Response
        ],
        keeps_connection: bool,
    ) -> None:
        try:
            response = await responding
        except Exception as error:
            log.error('request.failed', target=request.target, error=error)
            response = http_messages.Response(500)
        self._serving = None
        self._serving_bytes = 0
        self._used_ms = clock.now_ms()
        if self._account is not None:
            self._account.begin(self._evict)
            if self._is_lost:
                self._account.close()
                return
        self._send(request, response, keeps_connection)
        self._go_on()
        self._charge()

    def _send(
        self,
        request: http_messages.Request,
        response: http_messages.Response,
        keeps_connection: bool,
    ) -> None:
        """Send a response.

        :param request: what it answers.
        :param response: the response.
        :param keeps_connection: whether the connection stays open.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._place is not None:
            self._place.end()
        if self._is_closing and not self._waiting:
            keeps_connection = False
        has_body = request.method != 'HEAD'
        transport.write(response.write(has_body, keeps_connection))
        if not keeps_connection:
            self._is_closing = True
            self._waiting.clear()
            transport.close()


class _Refused(Exception):  # noqa: N818
    """A request that is too large, or whose body is invalid.

    :param status: the status to answer with.
    :param reason: why, for the log; empty if the status says it.
    :param body: the answer's body.
    """

    def __init__(
        self, status: int, reason: str = '', body: bytes = b''
    ) -> None:
        super().__init__(status)
        self.status = status
        self.reason = reason
        self.body = body
