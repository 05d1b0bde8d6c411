"""The call that shows operators a gateway's state, at its leader."""

import typing


from filbertglade.control import agreement
from filbertglade.control import state
from filbertglade.fleet import cold_leading
from filbertglade.fleet import evacuation_log
from filbertglade.gateway import http_messages
from filbertglade.gateway import http_server
from filbertglade.replicas import observed_state
from filbertglade.replicas import unserved_models

PATH = '/v1/status'


class StatusApi:
    """Serves the call while this host leads.

    :param agreed: the agreed state.
    :param voters: this host's part in agreement.
    :param observed: the leader's view of the replicas.
    :param cold: the leader's part in cold endpoints; None if it has none.
    """

    def __init__(
        self,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        observed: observed_state.ObservedState,
        cold: cold_leading.ColdLeading | None,
    ) -> None:
        self._agreed = agreed
        self._voters = voters
        self._observed = observed
        self._cold = cold

    def handle(self, request: http_server.Request) -> http_server.Response:
        """Serve a call.

        :param request: a request for :data:`PATH`.
        """
        if request.method != 'GET':
            return http_messages.respond_json(
                405, {'error': 'only GET is possible'}
            )
        if not self._voters.is_leader:
            return http_messages.respond_json(
                503, {'error': 'this host no longer leads'}
            )
        return http_messages.respond_json(200, self._render())

    def _render(self) -> dict[str, typing.Any]:
        status = self._voters.status()
        unserved = unserved_models.find_unserved(
            unserved_models.list_states(self._observed.list_replicas())
        )
        return {
            'leader': status.leader,
            'term': status.term,
            'committed_index': status.committed_index,
            'losses_left': status.losses_left,
            'document_version': self._agreed.document.version,
            'evacuations': evacuation_log.describe(
                self._agreed.evacuations.list_evacuations(),
                self._voters.log_clock_ms(),
            ),
            'models_without_group': sorted(unserved),
            'cold_endpoints': (
                []
                if self._cold is None
                else self._cold.describe(self._agreed.replicas.records)
            ),
        }
