"""The HTTP API of control hosts for endpoints and operators."""

import asyncio
from collections import abc
import re
import typing
from urllib import parse

import orjson

from filbertglade.budgets import process
from filbertglade import clock
from filbertglade import failures
from filbertglade.fleet import document
from filbertglade.fleet import endpoints
from filbertglade.gateway import control_context
from filbertglade.gateway import document_api
from filbertglade.gateway import evacuation_api
from filbertglade.gateway import http_messages
from filbertglade.gateway import http_server
from filbertglade.gateway import status_api
from filbertglade.observability import logs

log = logs.get_log(__name__)

# Longest body of a request with a routing document, in bytes.
MAX_BODY_BYTES = 2 * document.MAX_DOCUMENT_BYTES
_ENDPOINT_PATH = re.compile(
    r'/v1/endpoints/(?P<id>[^/]+)/(?P<what>announcement|departure)'
)
# A response, or a coroutine that returns it.
Answer = (
    http_server.Response
    | abc.Coroutine[typing.Any, typing.Any, http_server.Response]
)
# Longest wait of a request until this leader has renewed its lease, and the
# interval between two looks, in ms. Many announcements at once, beside the
# reading of a document, can delay the renewal of a lease past its end.
MAX_LEASE_WAIT_MS = 500
LEASE_POLL_MS = 10


class ControlApi:
    """Serves endpoints and operators, or redirects them to the leader.

    :param context: what the parts of this host share.
    """

    def __init__(self, context: control_context.ControlContext) -> None:
        self._context = context
        self._documents = document_api.DocumentApi(context)
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
        is_known = is_evacuation or path in (
            document_api.ROUTING_PATH,
            status_api.PATH,
        )
        if match is None and not is_known:
            return http_messages.respond_json(404, {'error': 'no such path'})
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
                return http_messages.respond_json(
                    405, {'error': 'only POST is possible'}
                )
            return self._handle_endpoint(match, request.body)
        if request.method == 'GET':
            return self._documents.read()
        if request.method == 'POST':
            return self._documents.put(request)
        return http_messages.respond_json(
            405, {'error': 'only GET and POST are possible'}
        )

    def handle_relayed(self, request: http_server.Request) -> Answer:
        """Serve what an endpoint has sent to another control host.

        :param request: the request; it isn't passed on once more.
        :returns: the response, or a coroutine that returns it.
        """
        match = _ENDPOINT_PATH.fullmatch(request.path)
        if match is None or not self._context.voters.is_leader:
            return http_messages.respond_json(
                503, {'error': 'this host does not lead'}
            )
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
            return http_messages.respond_json(
                503, {'error': 'no leader is known'}
            )
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
            return http_messages.respond_json(
                503, {'error': 'a new document is being read'}
            )
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
        response = http_messages.respond_json(
            200, {'announce_to': context.address}
        )
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
        return http_messages.respond_json(400, {'error': str(failure)})

    def _handle_departure(self, endpoint_id: str, body: bytes) -> Answer:
        """Remove an endpoint that departs.

        :param endpoint_id: its id.
        :param body: JSON text that may tell its incarnation.
        """
        key = self._context.registry.deregister(
            endpoint_id, _read_born_ms(body)
        )
        return self._acknowledge_departure(
            key, True, http_messages.respond_json(200, {})
        )

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
        return http_messages.respond_json(
            503, {'error': 'the departure is not recorded yet'}
        )


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


async def listen(
    context: control_context.ControlContext,
    budgets: process.Budgets | None = None,
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
        document_api.ROUTING_PATH,
        budgets,
        find_check=document_api.DocumentApi(context).find_check,
    )
    await server.listen(context.address)
    return server
