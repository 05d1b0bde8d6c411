"""Choice of one endpoint among those that may run a request."""

import abc
import dataclasses

from filbertglade.inner import membership_pb2


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointKey:
    """Names what runs requests for as long as it stays the same.

    :param name: a group, or a plain service's host.
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
    :param run: the run of that host.
    :param address: where it takes requests.
    :param data_centre: where it stands.
    :param load: the load it last reported.
    :param load_age_ms: age of that report.
    """

    name: str
    epoch: int
    host: str
    run: str
    address: str
    data_centre: str
    load: membership_pb2.Load
    load_age_ms: int

    @property
    def key(self) -> EndpointKey:
        """What names it in the records of the past."""
        return EndpointKey(self.name, self.epoch)


@dataclasses.dataclass(slots=True)
class RequestFeatures:
    """What selection may know of a request.

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
    """A policy that chooses endpoints."""

    @abc.abstractmethod
    def choose(
        self, candidates: list[Candidate], features: RequestFeatures
    ) -> Candidate | None:
        """Choose an endpoint.

        :param candidates: those that may run the request.
        :param features: the request.
        :returns: the choice; None if there is no candidate.
        """

    def note_started(
        self, candidate: Candidate, features: RequestFeatures
    ) -> None:
        """Note that a request was sent.

        :param candidate: where to.
        :param features: the request.
        """

    def note_first_token(
        self, candidate: Candidate, first_token_ms: float
    ) -> None:
        """Note a request's first token.

        :param candidate: where it ran.
        :param first_token_ms: time since it was sent.
        """

    def note_finished(
        self,
        candidate: Candidate,
        features: RequestFeatures,
        tokens: int,
        took_ms: float,
    ) -> None:
        """Note that a request ended, whatever its outcome.

        :param candidate: where it ran.
        :param features: the request.
        :param tokens: how many tokens it gave.
        :param took_ms: time since it was sent.
        """
