"""Candidate endpoints for a request, from the node's view of the fleet."""

from filbertglade import clock
from filbertglade.membership import view
from filbertglade.routing import selection


def list_group_candidates(
    fleet: view.FleetView, deployment: str
) -> list[selection.Candidate]:
    """Return the groups of a deployment that may take a request now.

    :param fleet: the node's view of the fleet.
    :param deployment: the deployment's name.
    """
    now_ms = clock.now_ms()
    return [
        selection.Candidate(
            name=seen.line.group,
            epoch=seen.line.epoch,
            host=seen.line.hosts[0],
            run=seen.line.run,
            address=seen.line.address,
            data_centre=seen.line.data_centre,
            load=seen.line.load,
            load_age_ms=now_ms - seen.load_ms,
            data_centres=tuple(seen.line.data_centres),
        )
        for seen in fleet.list_groups(deployment)
    ]


def list_worker_candidates(
    fleet: view.FleetView, service: str
) -> list[selection.Candidate]:
    """Return the workers of a plain service that may take a call now.

    :param fleet: the node's view of the fleet.
    :param service: the service's name.
    """
    now_ms = clock.now_ms()
    return [
        selection.Candidate(
            name=seen.line.host,
            epoch=0,
            host=seen.line.host,
            run=seen.line.run,
            address=seen.line.address,
            data_centre=seen.line.data_centre,
            load=seen.line.load,
            load_age_ms=now_ms - seen.proven_ms,
            data_centres=(seen.line.data_centre,),
        )
        for seen in fleet.list_workers(service)
    ]
