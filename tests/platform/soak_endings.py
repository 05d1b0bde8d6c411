"""Answers of a soak's workers that may break off, and what callers may see.

A request names in ``X-Ending`` how its answer is framed, whether and how it
breaks off, and where; so its caller's seed decides it.
"""

import asyncio
import contextlib
import re
import socket
import struct

HEADER = 'X-Ending'
# The usual answer, and the one of a worker that breaks its streams.
USUAL = 'stated whole -'
BROKEN = 'stated close inside'
# 'bare' answers have neither a length nor chunks.
FRAMINGS = ('bare', 'bare', 'stated')
# 'close' closes the connection in order while the worker lives on; 'crash'
# does so too, but the worker's address refuses from then on.
WAYS = ('whole', 'close', 'reset', 'crash')
WAY_WEIGHTS = (6, 8, 4, 1)
PLACES = {True: ('inside', 'between'), False: ('body',)}
PIECE_PAUSE_S = 0.02
BODY_BYTES = 20_000
BODY_PIECES = 4
# The value of SO_LINGER with which a close resets the connection.
RESET_LINGER = struct.pack('ii', 1, 0)

EVENT_PATTERN = re.compile(r'id: (\d+)\ndata: (\S+) x{20}\n\n')
# An event that breaks off, from its data on.
PIECE_PATTERN = re.compile(r'\S+( x{0,20}\n?)?')


def draw(rng, is_stream):
    """Return an ending other than the usual one."""
    framing = rng.choice(FRAMINGS)
    (way,) = rng.choices(WAYS, WAY_WEIGHTS)
    return f'{framing} {way} {rng.choice(PLACES[is_stream])}'


def build_body(endpoint, request_id, ending):
    """Return the whole body of an answer that isn't a stream."""
    text = f'{endpoint} ran {request_id}'
    return text.ljust(BODY_BYTES, '.') if ending else text


def build_event(number, endpoint):
    return f'id: {number}\ndata: {endpoint} {"x" * 20}\n\n'


class Events:
    """The events that a caller got.

    :ivar ids: numbers of the whole events.
    :ivar endpoints: the endpoints that sent them.
    :ivar rest: what follows the last whole event.
    """

    def __init__(self, text):
        self.ids, self.endpoints = [], []
        end = 0
        while found := EVENT_PATTERN.match(text, end):
            self.ids.append(int(found[1]))
            self.endpoints.append(found[2])
            end = found.end()
        self.rest = text[end:]

    def find_problem(self, count, may_resume, is_whole):
        """Return what is wrong with them; empty if nothing.

        :param count: number of events of the whole stream.
        :param is_whole: whether the stream looks whole to its caller.
        """
        expected = list(range(1, count + 1))
        if not is_whole:
            expected = expected[: len(self.ids)]
        if self.ids != expected or (is_whole and self.rest):
            return f'events {self.ids} of {count}, then {self.rest!r}'
        if not may_resume and len(set(self.endpoints)) > 1:
            return f'events of several runs {self.endpoints}'
        start = f'id: {len(self.ids) + 1}\ndata: '
        if not start.startswith(self.rest) and not PIECE_PATTERN.fullmatch(
            self.rest.removeprefix(start)
        ):
            return f'{self.rest!r} after the events {self.ids}'
        return ''


async def send_answer(worker, writer, headers, events):
    """Answer a request as its ending says.

    :param worker: a ``soak_deployment.SoakWorker``.
    :param events: number of the stream's last event; None for a plain body.
    """
    request_id = headers['X-Request-Id']
    usual = BROKEN if worker.is_breaking else USUAL
    framing, way, place = headers.get(HEADER, usual).split()
    way = worker.choose_way(way, request_id)
    if events is None:
        text = build_body(worker.endpoint_id, request_id, True)
        size = BODY_BYTES // BODY_PIECES
        pieces = [text[at : at + size] for at in range(0, BODY_BYTES, size)]
    else:
        first = int(headers.get('Last-Event-Id', 0)) + 1
        pieces = [
            build_event(number, worker.endpoint_id)
            for number in range(first, events + 1)
        ]
    sent = pieces if way == 'whole' else _cut(pieces, place)
    more = '' if events is None else 'Content-Type: text/event-stream\r\n'
    is_chunked = framing == 'stated' and events is not None
    if is_chunked:
        more += 'Transfer-Encoding: chunked\r\n'
    elif framing == 'stated':
        more += f'Content-Length: {BODY_BYTES}\r\n'
    # A reset may take the head away from a host that hasn't read it yet.
    writer.write(worker.build_head(headers, more, is_read=way != 'reset'))
    with contextlib.suppress(ConnectionError):
        for piece in sent:
            if is_chunked:
                piece = f'{len(piece):x}\r\n{piece}\r\n'
            writer.write(piece.encode())
            await writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)
        if way == 'whole' and is_chunked:
            writer.write(b'0\r\n\r\n')
            await writer.drain()
    if way != 'whole':
        is_silent = way == 'close' and framing == 'bare' and place != 'inside'
        worker.note_end(request_id, is_silent)
    if way == 'crash':
        worker.crash(writer)
    elif way == 'reset':
        reset(writer)
    elif way == 'close' or framing == 'bare':
        writer.close()


def _cut(pieces, place):
    """Return the pieces of an answer that breaks off."""
    count = max(1, len(pieces) // 2)
    if place == 'between':
        return pieces[:count]
    rest = pieces[count - 1]
    return [*pieces[: count - 1], rest[: len(rest) // 2]]


def reset(writer):
    """Reset a connection."""
    connection = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER
        )
    writer.transport.abort()
