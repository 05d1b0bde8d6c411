"""The HTTP API of control hosts for endpoints and operators."""

import abc as base_classes
import asyncio
from collections import abc
import hashlib
import re
import typing
from urllib import parse

import orjson

from filbertglade.budgets import process
from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.control import failures as control_failures
from filbertglade.control import state
from filbertglade.control.tables import document as document_table
from filbertglade import failures
from filbertglade.fleet import cold_leading
from filbertglade.fleet import departure_log
from filbertglade.fleet import document
from filbertglade.fleet import endpoints
from filbertglade.fleet import evacuation_log
from filbertglade.fleet import registry
from filbertglade.gateway import body_checks
from filbertglade.gateway import evacuation_api
from filbertglade.gateway import http_server
from filbertglade.gateway import pending_documents
from filbertglade.gateway import status_api
from filbertglade.inner import commands_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade import packing
from filbertglade.replicas import observed_state
from filbertglade import schema

log = logs.get_log(__name__)

# Longest wait for a document's commit, in ms: operators go on to another
# control host after 1 s.
COMMIT_TIMEOUT_MS = 2500
# Longest time that a document in the log is waited for, in ms: the largest
# takes 14 s over a link of 10 Mbit/s. Until then a resend adds no entry.
ENTRY_TIMEOUT_MS = 30_000
# Longest wait until this host has read a document that it has committed, in
# ms: then the document is acknowledged all the same.
READ_TIMEOUT_MS = 500
# Longest body of a request with a routing document, in bytes.
MAX_BODY_BYTES = 2 * document.MAX_DOCUMENT_BYTES
ROUTING_PATH = '/v1/routing'
_ENDPOINT_PATH = re.compile(
    r'/v1/endpoints/(?P<id>[^/]+)/(?P<what>announcement|departure)'
)
# A response, or a coroutine that returns it.
Answer = (
    http_server.Response
    | abc.Coroutine[typing.Any, typing.Any, http_server.Response]
)
# Requests are redirected to the leader only if this host has received a
# message from it within this time, in ms.
MAX_LEADER_AGE_MS = 1000
# Longest wait of a request until this leader has renewed its lease, and the
# interval between two looks, in ms. Many announcements at once, beside the
# reading of a document, can delay the renewal of a lease past its end.
MAX_LEASE_WAIT_MS = 500
LEASE_POLL_MS = 10


class Outcome:
    """The response to every sender of a document.

    :param status: the HTTP status.
    :param body: the body.
    """

    __slots__ = ('status', 'body')

    def __init__(
        self, status: int, body: abc.Mapping[str, typing.Any]
    ) -> None:
        self.status = status
        self.body = body


class LeaderCaller(base_classes.ABC):
    """Sends what endpoints send to this host on to the leader."""

    @property
    @base_classes.abstractmethod
    def has_room(self) -> bool:
        """Whether one more request may wait for the leader's answer."""

    @base_classes.abstractmethod
    async def call(
        self, leader: str, request: http_server.Request
    ) -> http_server.Response:
        """Send an endpoint's request to the leader; return its answer.

        :param leader: the leader's inner address.
        :param request: the request.
        """


class ControlContext:
    """What the parts of a control host's API share.

    :param address: this host's own address for endpoints and operators.
    :param agreed: the agreed state.
    :param voters: this host's part in agreement.
    :param endpoint_registry: the endpoints.
    :param recorder: records which endpoints leave.
    :param counters: the process's metrics.
    :param observed: the leader's view of the replicas, which holds the
        document in force.
    :param cold: the leader's part in cold endpoints; None if it has none.
    :ivar evacuations: commits operators' evacuations.
    :ivar documents: the documents that are being accepted.
    :ivar read_version: version of the newest document that was read.
    :ivar leader_caller: sends announcements and departures to the leader;
        None to redirect endpoints there.
    """

    def __init__(
        self,
        address: str,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        endpoint_registry: registry.Registry,
        recorder: departure_log.DepartureLog,
        counters: metrics.Metrics,
        observed: observed_state.ObservedState,
        cold: cold_leading.ColdLeading | None = None,
    ) -> None:
        self.address = address
        self.agreed = agreed
        self.voters = voters
        self.registry = endpoint_registry
        self.departures = recorder
        self.counters = counters
        self.observed = observed
        self.cold = cold
        self.evacuations = evacuation_log.EvacuationLog(
            agreed, voters, counters
        )
        self.documents = pending_documents.PendingDocuments[Outcome]()
        self.read_version = 0
        self.leader_caller: LeaderCaller | None = None
        self._read_changed = asyncio.Event()

    def set_read_version(self, version: int) -> None:
        """Tell waiting handlers that a document was read.

        :param version: its version.
        """
        self.read_version = version
        self._read_changed.set()
        self._read_changed = asyncio.Event()

    @property
    def is_document_read(self) -> bool:
        """Whether the newest accepted document was read on this host."""
        return self.read_version >= self.agreed.document.current.version

    async def wait_for_document(self, timeout_ms: int) -> None:
        """Wait until the newest accepted document was read on this host.

        :param timeout_ms: longest wait.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while not self.is_document_read:
                    await self._read_changed.wait()
        except TimeoutError:
            log.change(
                'document.read_late',
                version=self.agreed.document.current.version,
                read=self.read_version,
            )

    def find_leader_address(self) -> str:
        """Return the leader's address for endpoints and operators.

        :returns: the address; empty if no leader was heard from recently.
        """
        leader = self.voters.leader
        age_ms = self.voters.leader_age_ms()
        if not leader or age_ms is None or age_ms > MAX_LEADER_AGE_MS:
            return ''
        return self._find_address(leader)

    @property
    def leads_itself(self) -> bool:
        """Whether this host leads, even if its lease has ended."""
        leader = self.voters.leader
        return bool(leader) and self._find_address(leader) == self.address

    def _find_address(self, host: str) -> str:
        port = self.address.rpartition(':')[2]
        return f'{host.rpartition(":")[0]}:{port}'


class ControlApi:
    """Serves endpoints and operators, or redirects them to the leader.

    :param context: what the parts of this host share.
    """

    def __init__(self, context: ControlContext) -> None:
        self._context = context
        self._documents = DocumentApi(context)
        self._evacuations = evacuation_api.EvacuationApi(
            context.evacuations, context.voters, context.observed
        )
        self._status = status_api.StatusApi(
            context.agreed, context.voters, context.observed, context.cold
        )

    def handle(self, request: http_server.Request) -> Answer:
        """Serve a request.

        :param request: the request.
        :returns: the response, or a coroutine that returns it.
        """
        path = request.target.partition('?')[0]
        match = _ENDPOINT_PATH.fullmatch(path)
        is_evacuation = evacuation_api.is_evacuation_path(path)
        is_known = is_evacuation or path in (ROUTING_PATH, status_api.PATH)
        if match is None and not is_known:
            return _respond(404, {'error': 'no such path'})
        if not self._context.voters.is_leader:
            if self._context.leads_itself:
                return self._wait_for_lease(request)
            return self._pass_on(request, is_endpoint=match is not None)
        return self._handle_leading(request, match, is_evacuation)

    async def _wait_for_lease(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Serve a request once this leader has renewed its lease.

        A leader that has lost its quorum steps down when it finds that the
        lease has ended, and the wait ends too.
        """
        context = self._context
        context.counters.count('lease_waits')
        end_ms = clock.now_ms() + MAX_LEASE_WAIT_MS
        while not context.voters.is_leader:
            if not context.leads_itself or clock.now_ms() >= end_ms:
                return self._redirect(request.target)
            await asyncio.sleep(LEASE_POLL_MS / 1000)
        answer = self.handle(request)
        if isinstance(answer, http_server.Response):
            return answer
        return await answer

    def _handle_leading(
        self,
        request: http_server.Request,
        match: re.Match[str] | None,
        is_evacuation: bool,
    ) -> Answer:
        if is_evacuation:
            return self._evacuations.handle(request)
        if request.path == status_api.PATH:
            return self._status.handle(request)
        if match is not None:
            if request.method != 'POST':
                return _respond(405, {'error': 'only POST is possible'})
            return self._handle_endpoint(match, request.body)
        if request.method == 'GET':
            return self._documents.read()
        if request.method == 'POST':
            return self._documents.put(request)
        return _respond(405, {'error': 'only GET and POST are possible'})

    def handle_relayed(self, request: http_server.Request) -> Answer:
        """Serve what an endpoint has sent to another control host.

        :param request: the request; it isn't passed on once more.
        :returns: the response, or a coroutine that returns it.
        """
        match = _ENDPOINT_PATH.fullmatch(request.path)
        if match is None or not self._context.voters.is_leader:
            return _respond(503, {'error': 'this host does not lead'})
        return self._handle_endpoint(match, request.body)

    def _handle_endpoint(self, match: re.Match[str], body: bytes) -> Answer:
        """Apply an announcement or a departure.

        :param match: the parts of its path.
        :param body: its JSON text.
        """
        with self._context.counters.measure_part('announcements'):
            endpoint_id = parse.unquote(match['id'])
            if match['what'] == 'departure':
                return self._handle_departure(endpoint_id, body)
            return self._handle_announcement(endpoint_id, body)

    def _pass_on(
        self, request: http_server.Request, is_endpoint: bool
    ) -> Answer:
        """Let the leader answer a request.

        Only what endpoints send is relayed: an operator's order that was
        relayed could be carried out after its sender has given it up.

        :param request: the request.
        :param is_endpoint: whether an endpoint has sent it.
        """
        context = self._context
        caller = context.leader_caller
        if (
            caller is None
            or not is_endpoint
            or request.method != 'POST'
            or not caller.has_room
            or not context.find_leader_address()
        ):
            return self._redirect(request.target)
        return caller.call(context.voters.leader, request)

    def _redirect(self, target: str) -> http_server.Response:
        """Send a request to the leader, or respond with 503."""
        context = self._context
        leader = context.find_leader_address()
        if not leader or leader == context.address:
            return _respond(503, {'error': 'no leader is known'})
        context.counters.count('redirections')
        return http_server.Response(
            307, headers={'Location': f'http://{leader}{target}'}
        )

    def _handle_announcement(self, endpoint_id: str, body: bytes) -> Answer:
        """Apply an announcement.

        :param endpoint_id: id of its sender.
        :param body: its JSON text.
        """
        context = self._context
        announced = endpoints.read_announcement(endpoint_id, body)
        if isinstance(announced, failures.Failure):
            return self._refuse(endpoint_id, announced)
        index = context.observed.index
        is_known = index is None or announced.service in index.services
        if not is_known and not context.is_document_read:
            return _respond(503, {'error': 'a new document is being read'})
        if not is_known:
            return self._refuse(
                endpoint_id,
                failures.Failure(
                    endpoints.AnnouncementReason.UNKNOWN_SERVICE,
                    announced.service,
                ),
            )
        rejection = context.registry.apply(announced)
        if rejection is not None:
            context.counters.count('announcements_outdated')
            log.change(
                'announcement.outdated',
                endpoint=endpoints.get_key(announced),
                sequence=announced.sequence,
                reason=str(rejection),
            )
        context.counters.count('announcements')
        response = _respond(200, {'announce_to': context.address})
        if announced.leaving:
            key = endpoints.get_key(announced)
            return self._acknowledge_departure(key, False, response)
        return response

    def _refuse(
        self, endpoint_id: str, failure: failures.Failure
    ) -> http_server.Response:
        self._context.counters.count('announcements_refused')
        log.change(
            'announcement.refused', endpoint=endpoint_id, reason=str(failure)
        )
        return _respond(400, {'error': str(failure)})

    def _handle_departure(self, endpoint_id: str, body: bytes) -> Answer:
        """Remove an endpoint that departs.

        :param endpoint_id: its id.
        :param body: JSON text that may tell its incarnation.
        """
        key = self._context.registry.deregister(
            endpoint_id, _read_born_ms(body)
        )
        return self._acknowledge_departure(key, True, _respond(200, {}))

    def _acknowledge_departure(
        self, key: str, has_gone: bool, response: http_server.Response
    ) -> Answer:
        """Respond once every later leader knows that an endpoint leaves.

        :param key: its incarnation key.
        :param has_gone: whether it has deregistered; otherwise it drains.
        :param response: the response then.
        """
        if self._context.departures.is_recorded(key, has_gone):
            return response
        return self._record_departure(key, has_gone, response)

    async def _record_departure(
        self, key: str, has_gone: bool, response: http_server.Response
    ) -> http_server.Response:
        if await self._context.departures.record(key, has_gone):
            return response
        return _respond(503, {'error': 'the departure is not recorded yet'})


def _respond(
    status: int, body: abc.Mapping[str, typing.Any]
) -> http_server.Response:
    """Return a response with a JSON body."""
    return http_server.Response(status, orjson.dumps(body))


def _read_born_ms(body: bytes) -> int:
    if not body:
        return 0
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        log.change('departure.unreadable', error=error)
        return 0
    born_ms = data.get('born') if isinstance(data, dict) else None
    return born_ms if isinstance(born_ms, int) else 0


class DocumentApi:
    """Accepts and returns the routing document.

    :param context: what the parts of this host share.
    """

    def __init__(self, context: ControlContext) -> None:
        self._context = context

    def read(self) -> http_server.Response:
        """Return the newest document."""
        context = self._context
        text = context.agreed.document.read_text()
        if not text:
            return _respond(404, {'error': 'no document has been accepted'})
        if not context.voters.is_leader:
            return _respond(503, {'error': 'this host no longer leads'})
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
            return _respond(503, {'error': 'not committed in time'})
        if outcome.status == 200:
            await context.wait_for_document(READ_TIMEOUT_MS)
        return _respond(outcome.status, outcome.body)

    async def _accept(
        self, request: http_server.Request, checked: asyncio.Event
    ) -> Outcome:
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
        version = held.version
        if packed_text != held.packed_text:
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
            return Outcome(
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
            return Outcome(503, {'error': str(result)})
        log.change(
            'document.accepted',
            version=version,
            in_force=result.version,
            differs=result.differs,
            bytes=size_bytes,
            parse_ms=parse_ms,
            commit_ms=clock.now_ms() - started_ms,
        )
        return Outcome(200, {'version': result.version})

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
        if put.version > held.version:
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
) -> Outcome:
    log.change(
        'document.refused',
        bytes=size_bytes,
        problems=[str(problem) for problem in problems[:8]],
    )
    return Outcome(
        400, {'errors': [str(problem) for problem in problems[:64]]}
    )


async def listen(
    context: ControlContext, budgets: process.Budgets | None = None
) -> http_server.HttpServer:
    """Serve endpoints and operators.

    :param context: what the parts of this host share.
    :param budgets: what the process may hold; None for the defaults.
    :returns: the server; the caller stops it.
    :raises OSError: the server can't listen on the address.
    """
    server = http_server.HttpServer(
        ControlApi(context).handle,
        MAX_BODY_BYTES,
        ROUTING_PATH,
        budgets,
        find_check=DocumentApi(context).find_check,
    )
    await server.listen(context.address)
    return server
