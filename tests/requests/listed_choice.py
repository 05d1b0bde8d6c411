"""A choice among endpoints that the test lists."""

import random
import types

from filbertglade import clock
from filbertglade.fleet import dialects
from filbertglade.fleet import statements
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.requests import endpoint_choice
from filbertglade.requests import endpoint_wait
from filbertglade.requests import permitted_endpoints
from tests import fakes

TARGET = 'writer'


class ListedChoice(endpoint_choice.EndpointChoice):
    """A choice among the endpoints that the test sets.

    :ivar endpoints: the endpoints.
    :ivar permitted: what they stated.
    """

    def __init__(self, endpoints, deadline_ms):
        rng = random.Random(1)
        self.permitted = permitted_endpoints.PermittedEndpoints(
            statements.EndpointStatements(
                dialects.DEFAULT.leaving, metrics.Metrics(), rng
            ),
            rng,
        )
        parts = types.SimpleNamespace(
            wait_limits=endpoint_wait.EndpointWaitLimits(
                fakes.build_settings()
            ),
            permitted=self.permitted,
            fleet=view.FleetView(fakes.build_settings()),
            selector=types.SimpleNamespace(
                choose=lambda found, work: found[0] if found else None,
                note_started=lambda *_: None,
                note_finished=lambda *_: None,
            ),
        )
        request = types.SimpleNamespace(
            customer=fakes.build_customer('one'),
            call=types.SimpleNamespace(body=b''),
            prefix_hashes=(),
            target=TARGET,
            is_service=False,
            deadline_ms=clock.now_ms() + deadline_ms,
        )
        super().__init__(parts, request)
        self.endpoints = endpoints

    def _list_candidates(self):
        return self.endpoints
