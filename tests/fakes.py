"""Fakes and builders of plain objects that tests of several parts share."""

import dataclasses

from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.inner import membership_pb2
from filbertglade.membership import view
from filbertglade.routing import selection
from filbertglade.settings import model


@dataclasses.dataclass
class FakeEndpoint:
    """A group or worker in the fleet view: its line with its load."""

    line: membership_pb2.GroupLine


class FakeFleet:
    """A fleet view in which each deployment has one present group.

    :param slots: by deployment, the slots of its group.
    :ivar evacuations: those that leave no deployment an endpoint.
    """

    def __init__(self, **slots: int) -> None:
        self.document: configuration_model.Document | None = None
        self.cache_listeners: list[view.CacheListener] = []
        self.shares: dict[str, float] = {}
        self.evacuations: list[str] = []
        self.loads = {
            name: membership_pb2.Load(slots=count)
            for name, count in slots.items()
        }

    def add_cache_listener(self, listener: view.CacheListener) -> None:
        self.cache_listeners.append(listener)

    def list_groups(self, deployment: str) -> list[FakeEndpoint]:
        load = self.loads.get(deployment)
        if load is None:
            return []
        return [FakeEndpoint(membership_pb2.GroupLine(load=load))]

    def list_workers(self, service: str) -> list[FakeEndpoint]:
        return self.list_groups(service)

    def find_evacuation(self, target: str, is_service: bool) -> list[str]:
        return self.evacuations


def build_settings(**limits: int) -> model.NodeSettings:
    """Return a node's settings with the given limits."""
    return model.NodeSettings(
        name='one',
        region='central',
        data_centre='north',
        listen=model.ListenSettings('127.0.0.1:1', '127.0.0.1:2', '[::1]:3'),
        control=model.ControlSettings(hosts=[]),
        limits=model.LimitSettings(**limits),
        seed=1,
    )


def build_customer(name: str, **fields: float) -> configuration_model.Customer:
    """Return a customer whose limits are never reached unless given."""
    fields = {
        'requests_per_s': 1e6,
        'concurrent_requests': 1_000_000,
        **fields,
    }
    return configuration_model.Customer(name, 'a' * 64, **fields)


def build_deployment(
    name: str, priority: int
) -> configuration_model.Deployment:
    """Return a deployment with one replica of one host."""
    return configuration_model.Deployment(
        name, 'model', '1', [], [], 1, 1, priority=priority
    )


def build_candidate(
    name: str, active: int = 0, slots: int = 8, **fields: int
) -> selection.Candidate:
    """Return a candidate endpoint with a load.

    :param fields: further fields of the load; ``age_ms`` is the load's age,
        0 by default.
    """
    age_ms = fields.pop('age_ms', 0)
    load = membership_pb2.Load(slots=slots, active=active, **fields)
    return selection.Candidate(
        name, 1, name, 'run', '127.0.0.1:9', 'north', load, age_ms
    )


def build_deadline(left_ms: int = 600_000) -> int:
    """Return a deadline, in milliseconds of the running loop's clock."""
    return clock.now_ms() + left_ms
