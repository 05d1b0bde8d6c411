"""Work that targets have left, of this host's requests and of all others."""

import abc
from collections import abc as collections_abc

from filbertglade import clock
from filbertglade.costs import decayed
from filbertglade.costs import work
from filbertglade.fleet import document
from filbertglade.fleet import view
from filbertglade.forwarding import targets

# Half-life of the rate at which this host starts work, in ms.
RATE_HALF_LIFE_MS = 4_000
# Age that is assumed of what a frame tells when it arrives, in ms: reports
# are sent every 0.1 to 0.4 s, and wait for the next frame.
REPORT_AGE_MS = 600
# Highest age that is assumed, in ms. Without frames the work that others have
# sent since would otherwise outgrow all that is known.
MAX_AGE_MS = 1_500
# Work that is left of an answer that is longer than estimated, as a fraction
# of its length so far: the longer it has become, the longer it goes on.
OVERRUN_FRACTION = 0.3
# Step to which reported work is rounded, in ms.
REPORT_STEP_MS = 10
# Most targets that a report names, those with most work.
MAX_REPORTED = 256


class RunningRequest:
    """A request of this host that runs on a target.

    :param target: the target.
    :param cost: its estimated cost.
    :param engine: figures of the target's engine; None for a plain endpoint.
    :param count_events: returns the events that have arrived of its answer.
    """

    __slots__ = (
        '_count_events',
        '_stride',
        '_times',
        'cost',
        'started_ms',
        'target',
    )

    def __init__(
        self,
        target: targets.Target,
        cost: work.Cost,
        engine: document.Engine | None,
        count_events: collections_abc.Callable[[], int],
    ) -> None:
        self.target = target
        self.cost = cost
        self.started_ms = clock.now_ms()
        self._count_events = count_events
        self._stride = engine.stride if engine is not None else 1
        self._times = None
        if engine is not None and target.model:
            self._times = work.EngineTimes(engine, target.model)

    @property
    def answered_tokens(self) -> int:
        """Tokens of the answer that have arrived."""
        return self._count_events() * self._stride

    def find_remaining_ms(self) -> float:
        """Return the work that is left of it, in ms of its target's time."""
        if self._times is None:
            done_ms = clock.now_ms() - self.started_ms
            left_ms = max(
                self.cost.slot_ms - done_ms, OVERRUN_FRACTION * done_ms
            )
            return left_ms / max(1, self.target.slots)
        done = self.answered_tokens
        left = max(self.cost.answer_tokens - done, OVERRUN_FRACTION * done)
        cost = work.Cost(self.cost.prompt_tokens, done + left)
        return self._times.find_work_ms(cost, done)


class Backlog(abc.ABC):
    """What each target still has to do, in ms of the target's time."""

    @abc.abstractmethod
    def start(self, running: RunningRequest) -> None:
        """Add a request that is sent.

        :param running: the request.
        """

    @abc.abstractmethod
    def end(self, running: RunningRequest) -> None:
        """Remove a request that has ended.

        :param running: the request.
        """

    @abc.abstractmethod
    def find_remaining_ms(self, target: targets.Target) -> float:
        """Return the work that a target has left.

        :param target: the target.
        """

    @abc.abstractmethod
    def estimate_unreported_ms(self, model: str) -> float:
        """Estimate the work on all targets that nobody has reported yet.

        :param model: the model that it is for; empty for plain services.
        """


class ReportedBacklog(Backlog):
    """This host's own requests, and what frames tell of the others.

    :param fleet_view: the node's view.
    """

    def __init__(self, fleet_view: view.FleetView) -> None:
        self._view = fleet_view
        self._running: dict[str, set[RunningRequest]] = {}
        # What this host reported last, and what of it the last frame tells.
        self._reported: dict[str, int] = {}
        self._own_in_frame: dict[str, int] = {}
        self._rates = decayed.DecayedRates(RATE_HALF_LIFE_MS)
        fleet_view.add_listener(self._update_on_frame)

    def _update_on_frame(self) -> None:
        self._own_in_frame = dict(self._reported)

    def start(self, running: RunningRequest) -> None:
        """Add a request that is sent.

        :param running: the request.
        """
        target = running.target
        self._running.setdefault(target.load_key, set()).add(running)
        self._rates.add(target.model, running.find_remaining_ms())

    def end(self, running: RunningRequest) -> None:
        """Remove a request that has ended.

        :param running: the request; it need not be known any more.
        """
        key = running.target.load_key
        others = self._running.get(key, set())
        others.discard(running)
        if not others:
            self._running.pop(key, None)

    def find_own_ms(self, key: str) -> float:
        """Return the work that this host's requests have left on a target.

        :param key: the target's load key.
        """
        return sum(
            running.find_remaining_ms()
            for running in self._running.get(key, ())
        )

    def find_remaining_ms(self, target: targets.Target) -> float:
        """Return the work that a target has left.

        The work of other hosts is as the last frame tells it. What they have
        sent since is estimated for all targets together: see
        :meth:`estimate_unreported_ms`.

        :param target: the target.
        """
        key = target.load_key
        others_ms = self._view.remaining_work_ms.get(key, 0.0)
        others_ms -= self._own_in_frame.get(key, 0)
        return max(0.0, others_ms) + self.find_own_ms(key)

    def estimate_unreported_ms(self, model: str) -> float:
        """Estimate the work on all targets that nobody has reported yet.

        Assumes that each node starts as much work as this one.

        :param model: the model that it is for; empty for plain services.
        """
        age_ms = min(MAX_AGE_MS, REPORT_AGE_MS + (self._view.age_ms() or 0))
        others = max(0, self._view.entry_nodes - 1)
        return self._rates.get_per_ms(model) * age_ms * others

    @property
    def total_own_ms(self) -> float:
        """The work that this host's requests have left on all targets."""
        return sum(map(self.find_own_ms, list(self._running)))

    def take_report(self) -> dict[str, int]:
        """Return this host's work by load key for a report, in ms, rounded.

        At most :data:`MAX_REPORTED` targets are named. Others count as
        having none of this host's work.
        """
        rounded = {
            key: REPORT_STEP_MS * round(self.find_own_ms(key) / REPORT_STEP_MS)
            for key in self._running
        }
        largest = sorted(
            ((amount_ms, key) for key, amount_ms in rounded.items()),
            reverse=True,
        )[:MAX_REPORTED]
        self._reported = {key: amount_ms for amount_ms, key in largest}
        return dict(self._reported)
