"""What decides which replicas may take a request, and how urgent it is."""

import abc
from collections import abc as collections_abc
import dataclasses
import random
import typing

from filbertglade.forwarding import admission
from filbertglade.forwarding import targets

# Largest part by which the Retry-After of a refusal is changed at random.
RETRY_SPREAD = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """The replicas that may take a request.

    :param replicas: the replicas; empty if the request is refused.
    :param detail: why it is refused.
    """

    replicas: list[targets.Target]
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """How a request is admitted that is sent now.

    :param engine_priority: the priority that the engine is sent; None to send
        none.
    :param is_fresh: whether it is expected to be in time.
    :param fields: fields of the log line.
    """

    engine_priority: int | None = None
    is_fresh: bool = True
    fields: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


class AdmissionPolicy(abc.ABC):
    """Decides which replicas may take a request, and how urgent it is."""

    def copy_state(self) -> 'AdmissionPolicy':
        """Return a copy whose decisions change nothing here."""
        # Policies without state can't be changed.
        return self

    @abc.abstractmethod
    def find_room(
        self,
        demand: admission.Demand,
        loads: collections_abc.Mapping[targets.Target, int],
    ) -> Room:
        """Return the replicas that a request may be sent to.

        :param demand: what the request demands.
        :param loads: requests in flight on each replica that can run it; at
            least one replica.
        """

    def admit(
        self, demand: admission.Demand, target: targets.Target, load: int
    ) -> Admitted:
        """Admit a request that is sent now.

        :param demand: what the request demands.
        :param target: the replica that it is sent to.
        :param load: requests in flight there, without it.
        """
        return Admitted()

    def draw_lot(self, rng: random.Random) -> float:
        """Return the lot of a new request; see the demand.

        :param rng: the process's random number generator.
        """
        return 0.0

    def record_arrival(self, demand: admission.Demand) -> None:
        """Record a request before its first choice of a target.

        :param demand: what it demands.
        """

    def record_first_byte(
        self, demand: admission.Demand, admitted: Admitted, taken_ms: float
    ) -> None:
        """Record the time to the first byte of a response.

        :param demand: what the request demanded when it was sent.
        :param admitted: how it was admitted.
        :param taken_ms: the time since the request arrived.
        """

    def record_end(self, demand: admission.Demand, running_ms: float) -> None:
        """Record the end of a complete response.

        :param demand: what the request demanded when it was sent.
        :param running_ms: the time since its first byte.
        """

    def record_refusal(self, demand: admission.Demand) -> None:
        """Record a request that was refused for lack of room.

        :param demand: what it demands.
        """

    def choose_retry_s(
        self,
        demand: admission.Demand | None,
        retry_s: float,
        is_earliest: bool,
        rng: random.Random,
    ) -> float:
        """Return the Retry-After of a refusal, in s.

        Callers that are refused together come back one by one.

        :param demand: what the request demands if it is refused for lack of
            room; None if it is refused for another reason.
        :param retry_s: the usual time for the reason of the refusal.
        :param is_earliest: whether coming back sooner is of no use.
        :param rng: the process's random number generator.
        """
        least = 0.0 if is_earliest else -RETRY_SPREAD
        return retry_s * (1 + rng.uniform(least, RETRY_SPREAD))
