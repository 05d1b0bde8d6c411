"""Commits operators' evacuations of data centres to the agreed state."""

from collections import abc

from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.control import failures
from filbertglade.control import state
from filbertglade.inner import commands_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

# Longest wait for the commit of an order, in ms: an operator that isn't
# answered within 1 s goes on to another control host.
COMMIT_TIMEOUT_MS = 800
# Longest name of a data centre, in bytes: each frame carries the names.
MAX_NAME_BYTES = 200
NAME_RULE = (
    f'the name of a data centre is UTF-8 of 1 to {MAX_NAME_BYTES} bytes'
)
# Until when evacuations last, as operators are told.
END_RULE = 'the operator ends the evacuation'


def is_valid_name(name: str) -> bool:
    """Return whether a data centre of this name can be evacuated.

    :param name: the name.
    """
    return 0 < len(name.encode()) <= MAX_NAME_BYTES


def describe(
    evacuations: abc.Iterable[commands_pb2.Evacuation], log_clock_ms: int
) -> list[dict[str, object]]:
    """Return evacuations as operators are shown them.

    :param evacuations: the evacuations.
    :param log_clock_ms: the log clock now.
    """
    return [
        {
            'data_centre': item.data_centre,
            'since_index': item.since_index,
            'lasted_ms': max(0, log_clock_ms - item.since_ms),
            'until': END_RULE,
        }
        for item in evacuations
    ]


class EvacuationLog:
    """Starts and ends evacuations.

    Each order adds an entry to the log, also one that changes nothing by the
    state so far: an earlier order of the opposite kind, which was not
    acknowledged, may precede it in the log without being committed yet.

    :param agreed: the agreed state.
    :param voters: this host's part in agreement.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        counters: metrics.Metrics,
    ) -> None:
        self._agreed = agreed
        self._voters = voters
        self._counters = counters

    def list_evacuations(self) -> list[commands_pb2.Evacuation]:
        """Return the evacuations in force, the oldest first."""
        return self._agreed.evacuations.list_evacuations()

    async def record(self, data_centre: str, is_active: bool) -> str:
        """Start or end an evacuation.

        :param data_centre: name of the data centre.
        :param is_active: whether the evacuation starts; otherwise it ends.
        :returns: empty if every later leader knows of the order; otherwise
            why it is not acknowledged. It may still take effect.
        """
        started_ms = clock.now_ms()
        reason = await self._commit(data_centre, is_active)
        self._counters.count(
            'evacuation_orders',
            order='start' if is_active else 'end',
            outcome='unsettled' if reason else 'recorded',
        )
        log.change(
            'evacuation.unsettled' if reason else 'evacuation.recorded',
            data_centre=data_centre,
            active=is_active,
            lasted_ms=clock.now_ms() - started_ms,
            reason=reason,
        )
        return reason

    async def _commit(self, data_centre: str, is_active: bool) -> str:
        if not self._voters.has_required_voters:
            return 'too few control hosts are voters yet'
        command = commands_pb2.Command()
        command.evacuation_change.data_centre = data_centre
        command.evacuation_change.active = is_active
        result = await self._voters.submit(command, COMMIT_TIMEOUT_MS)
        if isinstance(result, failures.SubmitFailure):
            return str(result)
        return '' if result.evacuation.done else result.evacuation.detail
