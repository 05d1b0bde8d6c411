"""The calls by which operators evacuate data centres, at control hosts."""

from collections import abc
import re
import typing
from urllib import parse

import orjson

from filbertglade.control import agreement
from filbertglade.fleet import evacuation_log
from filbertglade.gateway import http_server

# Longest name of a data centre, in bytes: each frame carries the names.
MAX_NAME_BYTES = 200
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
    """

    def __init__(
        self,
        recorder: evacuation_log.EvacuationLog,
        voters: agreement.Agreement,
    ) -> None:
        self._recorder = recorder
        self._voters = voters

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
                return _respond(405, {'error': 'only GET is possible'})
            return self._list()
        if request.method != 'POST':
            return _respond(405, {'error': 'only POST is possible'})
        name = _read_name(match['name'])
        if not name:
            return _respond(
                400,
                {
                    'error': 'the name of a data centre is UTF-8 of 1 to '
                    f'{MAX_NAME_BYTES} bytes'
                },
            )
        return self._order(name, match['order'] == 'start')

    def _list(self) -> http_server.Response:
        if not self._voters.is_leader:
            return _respond(503, {'error': 'this host no longer leads'})
        evacuations = [
            {
                'data_centre': item.data_centre,
                'since_index': item.since_index,
                'lasted_ms': max(
                    0, self._voters.log_clock_ms() - item.since_ms
                ),
            }
            for item in self._recorder.list_evacuations()
        ]
        return _respond(200, {'evacuations': evacuations})

    async def _order(self, name: str, is_active: bool) -> http_server.Response:
        reason = await self._recorder.record(name, is_active)
        if reason:
            return _respond(503, {'error': reason})
        return _respond(200, {'data_centre': name, 'evacuated': is_active})


def _read_name(quoted: str) -> str:
    """Return the name in a path; empty if it is not a valid one."""
    octets = parse.unquote_to_bytes(quoted)
    if len(octets) > MAX_NAME_BYTES:
        return ''
    try:
        return octets.decode()
    except UnicodeDecodeError:
        return ''


def _respond(
    status: int, body: abc.Mapping[str, typing.Any]
) -> http_server.Response:
    return http_server.Response(status, orjson.dumps(body))
