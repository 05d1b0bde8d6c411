"""Checks bodies of requests while they arrive."""

import abc
import codecs
from collections import abc as collections_abc
import dataclasses
import json
import re

import orjson

from filbertglade.fleet import document
from filbertglade import schema

# A string, or the beginning of one whose end hasn't arrived.
_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:(")|\\?\Z)', re.DOTALL)
_BRACKETS = b'{}[]'
_NO_BRACKETS = bytes(set(range(256)) - set(_BRACKETS))
# What leads to the same state as a part of a text that ends with a comma, in
# an object or a list that holds others, and in the innermost one.
_OUTER = {ord('{'): b'{"":', ord('['): b'['}
_INNER = {ord('{'): b'{"":0,', ord('['): b'[0,'}
_SPACES = b' \t\n\r'
INCOMPLETE = 'unexpected end of data'
NOT_UTF8 = b'\xff'
NO_OBJECT = b'[]'


class BodyCheck(abc.ABC):
    """Checks one body."""

    @abc.abstractmethod
    def feed(self, body: bytearray) -> bytes | None:
        """Check what has arrived.

        :param body: all that has arrived so far.
        :returns: the answer that refuses it, whatever follows; None if it may
            be valid.
        """


@dataclasses.dataclass(slots=True)
class JsonError:
    """Why a text is no JSON.

    It is returned in place of the library's exception, which would keep the
    text, and with its traceback also the body.

    :param message: the library's message.
    :param position: where the text is invalid, in characters.
    """

    message: str
    position: int


Refuse = collections_abc.Callable[[int, list[schema.Problem]], bytes | None]
# Returns the check of a body by method, target and length; the length is 0 if
# it isn't stated.
FindCheck = collections_abc.Callable[[bytes, bytes, int], BodyCheck | None]


class DocumentCheck(BodyCheck):
    """Checks the length, the UTF-8 and the JSON structure of a document.

    A part that ends with a comma is read after a short text that leads to
    the same state as the parts before it, so each part is read once. A part
    without one is read again once it has doubled.

    :param length: the body's length in bytes; 0 if it isn't stated.
    :param refuse: returns the answer to a document with problems, given what
        has arrived of it in bytes; None if this host doesn't refuse it.
    """

    def __init__(self, length: int, refuse: Refuse) -> None:
        self._refuse = refuse
        self._length = length
        self._is_over = False
        self._decoder = codecs.getincrementaldecoder('utf-8')()
        self._decoded_bytes = 0
        # What was read, and the brackets that are open there.
        self._read_bytes = 0
        self._open = bytearray()
        # Size from which the rest is looked at again: strings may be long.
        self._next_bytes = 1

    def feed(self, body: bytearray) -> bytes | None:
        """Check what has arrived.

        :param body: all that has arrived so far.
        :returns: the answer that refuses it, whatever follows; None if it may
            be valid.
        """
        problem = '' if self._is_over else self._find_problem(body)
        if not problem:
            return None
        self._is_over = True
        found = schema.Problem(schema.ROOT_KEY, problem)
        return self._refuse(len(body), [found])

    def _find_problem(self, body: bytearray) -> str:
        size = max(self._length, len(body))
        if size > document.MAX_DOCUMENT_BYTES:
            more = '' if self._length else 'more than '
            size = size if self._length else document.MAX_DOCUMENT_BYTES
            return (
                f'{more}{size} bytes; at most '
                f'{document.MAX_DOCUMENT_BYTES} are allowed'
            )
        try:
            self._decoder.decode(bytes(body[self._decoded_bytes :]))
        except UnicodeDecodeError:
            return f'not JSON: {_read(NOT_UTF8)}'
        self._decoded_bytes = len(body)
        if len(body) - self._read_bytes < self._next_bytes:
            return ''
        return self._read_structure(body)

    def _read_structure(self, body: bytearray) -> str:
        rest = bytes(body[self._read_bytes :])
        masked = _STRING.sub(_mask, rest)
        lead = b''.join(_OUTER[each] for each in self._open[:-1])
        if self._open:
            lead += _INNER[self._open[-1]]
        end = masked.rfind(b',') + 1
        if end:
            self._next_bytes = len(rest) - end + 1
        else:
            self._next_bytes = 2 * len(rest)
        part = rest[: end or len(masked)]
        error = _read(lead + part)
        if error is not None and error.message != INCOMPLETE:
            return f'not JSON: {self._place(error, lead, body)}'
        if not self._read_bytes:
            text = rest.lstrip(_SPACES)
            if text and not text.startswith(b'{'):
                _, problems = document.read_document(NO_OBJECT)
                return problems[0].message
        self._close_and_open(masked[:end])
        self._read_bytes += end
        return ''

    def _place(
        self, error: JsonError, lead: bytes, body: bytearray
    ) -> json.JSONDecodeError:
        """Return an error with its place in the whole body."""
        before = bytes(body[: self._read_bytes]).decode()
        rest = bytes(body[self._read_bytes :]).decode(errors='ignore')
        position = len(before) + error.position - len(lead)
        return json.JSONDecodeError(error.message, before + rest, position)

    def _close_and_open(self, masked: bytes) -> None:
        """Note the brackets that a part closes and opens."""
        brackets = masked.translate(None, _NO_BRACKETS)
        size = -1
        while size != len(brackets):
            size = len(brackets)
            brackets = brackets.replace(b'{}', b'').replace(b'[]', b'')
        for each in brackets:
            if each in b'}]':
                self._open.pop()
            else:
                self._open.append(each)


def _mask(match: re.Match[bytes]) -> bytes:
    """Return what replaces a string; nothing if its end hasn't arrived."""
    return b'"' * len(match[0]) if match[1] else b''


def _read(text: bytes) -> JsonError | None:
    """Return what is wrong with a JSON text; None if it is valid."""
    try:
        orjson.loads(text)
    except orjson.JSONDecodeError as error:
        return JsonError(error.msg, error.pos)
    return None
