"""Interface of the policies that select an endpoint for a request."""

import abc
import dataclasses

from filbertglade.inner import membership_pb2


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointKey:
    """Identifies an endpoint: one epoch of a group, or a service's host.

    :param name: the group, or the host for a plain service.
    :param epoch: the group's epoch; 0 for a plain service.
    """

    name: str
    epoch: int


@dataclasses.dataclass(slots=True)
class Candidate:
    """An endpoint that may run a request.

    :param name: its group, or its host for a plain service.
    :param epoch: the group's epoch; 0 for a plain service.
    :param host: the host that takes the request.
    :param run: identifies the incarnation of the process on that host.
    :param address: address at which it takes requests.
    :param data_centre: its data centre.
    :param load: the load that it last reported.
    :param load_age_ms: age of that report.
    :param data_centres: the known data centres of all its hosts.
    """

    name: str
    epoch: int
    host: str
    run: str
    address: str
    data_centre: str
    load: membership_pb2.Load
    load_age_ms: int
    data_centres: tuple[str, ...] = ()

    @property
    def key(self) -> EndpointKey:
        """The endpoint's key, by which its history is kept."""
        return EndpointKey(self.name, self.epoch)

    @property
    def incarnation(self) -> str:
        """Identifies the process that takes its requests."""
        return f'{self.host}/{self.run}'


@dataclasses.dataclass(slots=True)
class RequestFeatures:
    """The features of a request on which selection may depend.

    :param customer: the customer's name.
    :param body: the request's body.
    :param prefix_hashes: hashes of the prompt's prefixes, shortest first.
    :param target: the deployment's or service's name.
    """

    customer: str
    body: bytes
    prefix_hashes: list[int] = dataclasses.field(default_factory=list)
    target: str = ''


class Selector(abc.ABC):
    """A policy that selects endpoints."""

    @abc.abstractmethod
    def choose(
        self, candidates: list[Candidate], features: RequestFeatures
    ) -> Candidate | None:
        """Choose an endpoint.

        :param candidates: the endpoints that may run the request.
        :param features: the request's features.
        :returns: the chosen endpoint; None without candidates.
        """

    def note_started(
        self, candidate: Candidate, features: RequestFeatures
    ) -> None:
        """Record that a request was sent.

        :param candidate: the endpoint that it was sent to.
        :param features: the request's features.
        """

    def note_first_token(
        self, candidate: Candidate, first_token_ms: float
    ) -> None:
        """Record a request's first token.

        :param candidate: the endpoint that runs it.
        :param first_token_ms: time since it was sent.
        """

    def note_finished(
        self,
        candidate: Candidate,
        features: RequestFeatures,
        tokens: int,
        took_ms: float,
    ) -> None:
        """Record that a request ended, with any outcome.

        :param candidate: the endpoint that ran it.
        :param features: the request's features.
        :param tokens: number of tokens that it generated.
        :param took_ms: time since it was sent.
        """
