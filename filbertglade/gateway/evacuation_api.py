"""The calls by which operators evacuate data centres, at control hosts."""

from collections import abc
import re
import typing
from urllib import parse


from filbertglade.control import agreement
from filbertglade.fleet import evacuation_log
from filbertglade.gateway import http_messages
from filbertglade.gateway import http_server
from filbertglade.replicas import observed_state
from filbertglade.replicas import unserved_models

LIST_PATH = '/v1/evacuations'
_ORDER_PATH = re.compile(
    r'/v1/evacuations/(?P<name>[^/]*)/(?P<order>start|end)'
)


def is_evacuation_path(path: str) -> bool:
    """Return whether a path is one of these calls.

    :param path: the path, without a query.
    """
    return path == LIST_PATH or _ORDER_PATH.fullmatch(path) is not None


class EvacuationApi:
    """Serves the calls while this host leads.

    :param recorder: commits the orders.
    :param voters: this host's part in agreement.
    :param observed: the leader's view of the replicas.
    """

    def __init__(
        self,
        recorder: evacuation_log.EvacuationLog,
        voters: agreement.Agreement,
        observed: observed_state.ObservedState,
    ) -> None:
        self._recorder = recorder
        self._voters = voters
        self._observed = observed

    def handle(
        self, request: http_server.Request
    ) -> (
        http_server.Response
        | abc.Coroutine[typing.Any, typing.Any, http_server.Response]
    ):
        """Serve a call.

        :param request: a request for one of the paths.
        :returns: the response, or a coroutine that returns it.
        """
        match = _ORDER_PATH.fullmatch(request.target.partition('?')[0])
        if match is None:
            if request.method != 'GET':
                return http_messages.respond_json(
                    405, {'error': 'only GET is possible'}
                )
            return self._list()
        if request.method != 'POST':
            return http_messages.respond_json(
                405, {'error': 'only POST is possible'}
            )
        name = _read_name(match['name'])
        if not name:
            return http_messages.respond_json(
                400, {'error': evacuation_log.NAME_RULE}
            )
        return self._order(name, match['order'] == 'start')

    def _list(self) -> http_server.Response:
        if not self._voters.is_leader:
            return http_messages.respond_json(
                503, {'error': 'this host no longer leads'}
            )
        evacuations = evacuation_log.describe(
            self._recorder.list_evacuations(), self._voters.log_clock_ms()
        )
        unserved = unserved_models.find_unserved(
            unserved_models.list_states(self._observed.list_replicas())
        )
        return http_messages.respond_json(
            200,
            {
                'evacuations': evacuations,
                'models_without_group': sorted(unserved),
            },
        )

    async def _order(self, name: str, is_active: bool) -> http_server.Response:
        reason = await self._recorder.record(name, is_active)
        if reason:
            return http_messages.respond_json(503, {'error': reason})
        return http_messages.respond_json(
            200, {'data_centre': name, 'evacuated': is_active}
        )


def _read_name(quoted: str) -> str:
    """Return the name in a path; empty if it is not a valid one."""
    try:
        name = parse.unquote(quoted, errors='strict')
    except UnicodeDecodeError:
        return ''
    return name if evacuation_log.is_valid_name(name) else ''
