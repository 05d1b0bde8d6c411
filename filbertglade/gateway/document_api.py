"""The part of a control host's HTTP API that serves the routing document."""

import asyncio
import hashlib

import orjson

from filbertglade import clock
from filbertglade.control import failures as control_failures
from filbertglade.control.tables import document as document_table
from filbertglade.fleet import document
from filbertglade.gateway import body_checks
from filbertglade.gateway import control_context
from filbertglade.gateway import http_messages
from filbertglade.gateway import http_server
from filbertglade.inner import commands_pb2
from filbertglade.observability import logs
from filbertglade import packing
from filbertglade import schema

log = logs.get_log(__name__)

ROUTING_PATH = '/v1/routing'
# Longest wait for a document's commit, in ms: operators go on to another
# control host after 1 s.
COMMIT_TIMEOUT_MS = 2500
# Longest time that a document in the log is waited for, in ms: the largest
# takes 14 s over a link of 10 Mbit/s. Until then a resend adds no entry.
ENTRY_TIMEOUT_MS = 30_000
# Longest wait until this host has read a document that it has committed, in
# ms: then the document is acknowledged all the same.
READ_TIMEOUT_MS = 500


class DocumentApi:
    """Accepts and returns the routing document.

    :param context: what the parts of this host share.
    """

    def __init__(self, context: control_context.ControlContext) -> None:
        self._context = context

    def read(self) -> http_server.Response:
        """Return the newest document."""
        context = self._context
        text = context.agreed.document.read_text()
        if not text:
            return http_messages.respond_json(
                404, {'error': 'no document has been accepted'}
            )
        if not context.voters.is_leader:
            return http_messages.respond_json(
                503, {'error': 'this host no longer leads'}
            )
        return http_server.Response(200, text)

    def find_check(
        self, method: bytes, target: bytes, length: int
    ) -> body_checks.BodyCheck | None:
        """Return the check of a document while it arrives.

        :param method: the request's method.
        :param target: its path and query.
        :param length: the length of its body; 0 if it isn't stated.
        :returns: the check; None for other requests.
        """
        is_document = (
            method == b'POST'
            and target.partition(b'?')[0] == ROUTING_PATH.encode()
        )
        if not is_document:
            return None
        return body_checks.DocumentCheck(length, self._build_refusal)

    def _build_refusal(
        self, size_bytes: int, problems: list[schema.Problem]
    ) -> bytes | None:
        """Return the answer to an invalid document.

        :returns: the answer; None if the document is redirected.
        """
        if not self._context.voters.is_leader:
            return None
        return orjson.dumps(_refuse_document(size_bytes, problems).body)

    async def put(self, request: http_server.Request) -> http_server.Response:
        """Commit a document if it is valid.

        :param request: the request, whose body is the document's JSON text.
            Its body is released: the text is kept only until it was checked.
        """
        context = self._context
        digest = await asyncio.to_thread(_find_digest, request.body)
        size_bytes = len(request.body)
        if context.documents.is_pending(digest):
            request.body = b''
        outcome = await context.documents.join(
            digest,
            lambda checked: self._accept(request, checked),
            COMMIT_TIMEOUT_MS,
        )
        if outcome is None:
            log.change(
                'document.unsettled',
                bytes=size_bytes,
                reason='not committed in time',
            )
            return http_messages.respond_json(
                503, {'error': 'not committed in time'}
            )
        if outcome.status == 200:
            await context.wait_for_document(READ_TIMEOUT_MS)
        return http_messages.respond_json(outcome.status, outcome.body)

    async def _accept(
        self, request: http_server.Request, checked: asyncio.Event
    ) -> control_context.Outcome:
        """Check a document and commit it unless its version is outdated.

        :param request: the request, whose body is taken.
        :param checked: set when the commit begins.
        """
        context = self._context
        text, request.body = request.body, b''
        size_bytes = len(text)
        packed_text = await asyncio.to_thread(packing.pack, text)
        started_ms = clock.now_ms()
        held = context.agreed.document.current
        if held is not None and packed_text == held.packed_text:
            version = held.version
        else:
            found, problems = await document.read_in_turn(
                document.read_version, text
            )
            if found is None:
                return _refuse_document(size_bytes, problems)
            version = found
        del text
        parse_ms = clock.now_ms() - started_ms
        if not context.voters.has_required_voters:
            log.change(
                'document.deferred',
                version=version,
                voters=len(context.agreed.voters.incarnations),
            )
            return control_context.Outcome(
                503, {'error': 'too few control hosts are voters yet'}
            )
        checked.set()
        started_ms = clock.now_ms()
        command = commands_pb2.Command(
            put_document={'version': version, 'packed_text': packed_text}
        )
        del packed_text
        result = await self._commit(command)
        if isinstance(result, control_failures.SubmitFailure):
            log.change(
                'document.unsettled', version=version, reason=str(result)
            )
            return control_context.Outcome(503, {'error': str(result)})
        log.change(
            'document.accepted',
            version=version,
            in_force=result.version,
            differs=result.differs,
            bytes=size_bytes,
            parse_ms=parse_ms,
            commit_ms=clock.now_ms() - started_ms,
        )
        return control_context.Outcome(200, {'version': result.version})

    async def _commit(
        self, command: commands_pb2.Command
    ) -> commands_pb2.DocumentResult | control_failures.SubmitFailure:
        """Commit a document, or acknowledge it from the agreed state.

        What is in the agreed state is committed, and a version that isn't
        higher changes nothing.

        :param command: puts the document.
        """
        context = self._context
        put = command.put_document
        held = context.agreed.document.current
        if held is None or put.version > held.version:
            result = await context.voters.submit(command, ENTRY_TIMEOUT_MS)
            if isinstance(result, control_failures.SubmitFailure):
                return result
            return result.document
        differs = put.version == held.version and not await asyncio.to_thread(
            document_table.has_same_text, put, held
        )
        if not context.voters.may_acknowledge:
            return control_failures.SubmitFailure(
                control_failures.SubmitReason.NO_LEADER,
                'this host no longer leads, or voters are being exchanged',
            )
        return commands_pb2.DocumentResult(
            version=held.version, differs=differs
        )


def _find_digest(text: bytes) -> bytes:
    return hashlib.sha256(text).digest()


def _refuse_document(
    size_bytes: int, problems: list[schema.Problem]
) -> control_context.Outcome:
    log.change(
        'document.refused',
        bytes=size_bytes,
        problems=[str(problem) for problem in problems[:8]],
    )
    return control_context.Outcome(
        400, {'errors': [str(problem) for problem in problems[:64]]}
    )
