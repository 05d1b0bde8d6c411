"""Operators that send configuration changes to real nodes."""

import collections
import threading
import time
import typing

import httpx

from tests import cluster as clusters

RESPONSE_TIMEOUT_S = 2.5
RETRY_PAUSE_S = 0.1
# Statuses after which the same change may be sent again.
RETRYABLE_STATUSES = (503, 504)


class Accepted(typing.NamedTuple):
    """A change that a node acknowledged as accepted."""

    number: int
    change_id: str
    at_s: float


def build_change(number: int, change_id: str) -> dict[str, typing.Any]:
    return {
        'number': number,
        'change_id': change_id,
        'customers': [{'name': 'x', 'key_sha256': f'{number:064x}'}],
    }


def put(
    node: clusters.NodeProcess, change: dict[str, typing.Any]
) -> httpx.Response | None:
    """Send a change to a node; return the response, None without one."""
    try:
        return httpx.put(
            f'{node.administration_url}/v1/config',
            json=change,
            timeout=RESPONSE_TIMEOUT_S,
        )
    except httpx.HTTPError:
        return None


class Operator:
    """Sends changes one after another, each until it is accepted.

    It goes through the nodes in turn, also on retries, and stops at the first
    refusal.

    :ivar accepted: the accepted changes, in order.
    :ivar failures: attempts to retry, by status; ``none`` without a response.
    :ivar refused: the response bodies of refusals.
    """

    def __init__(
        self, nodes: list[clusters.NodeProcess], interval_s: float
    ) -> None:
        self._nodes = nodes
        self._interval_s = interval_s
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.accepted: list[Accepted] = []
        self.failures: collections.Counter[str] = collections.Counter()
        self.refused: list[str] = []

    def start(self, number: int) -> None:
        """Start sending changes, numbered from this one."""
        self._next_number = number
        self._thread.start()

    def stop(self) -> None:
        """Stop once the outcome of the current change is known."""
        self._stopping.set()
        self._thread.join(clusters.WAIT_LIMIT_S)
        assert not self._thread.is_alive()

    def wait_for(self, count: int, limit_s: float = 30) -> None:
        """Wait until this many further changes are accepted."""
        wanted = len(self.accepted) + count
        clusters.wait_until(
            lambda: len(self.accepted) >= wanted or self.refused,
            f'{count} more changes; {dict(self.failures)}',
            limit_s,
        )
        assert self.refused == []

    def longest_gap_s(self, since_s: float) -> float:
        """Return the longest time between two accepted changes."""
        times = [item.at_s for item in self.accepted if item.at_s >= since_s]
        times.insert(0, since_s)
        pairs = zip(times, times[1:], strict=False)
        return max(later - earlier for earlier, later in pairs)

    def _run(self) -> None:
        due_s = time.monotonic()
        while not self._stopping.is_set() and not self.refused:
            self._send(
                build_change(self._next_number, f'change-{self._next_number}')
            )
            due_s = max(due_s + self._interval_s, time.monotonic())
            self._stopping.wait(max(0.0, due_s - time.monotonic()))

    def _send(self, change: dict[str, typing.Any]) -> None:
        number = change['number']
        for attempt in range(1000):
            node = self._nodes[(number + attempt) % len(self._nodes)]
            response = put(node, change)
            if response is not None and response.status_code == 200:
                self.accepted.append(
                    Accepted(number, change['change_id'], time.monotonic())
                )
                self._next_number = number + 1
                return
            if (
                response is not None
                and response.status_code not in RETRYABLE_STATUSES
            ):
                self.refused.append(response.text)
                return
            status = response.status_code if response is not None else 'none'
            self.failures[str(status)] += 1
            time.sleep(RETRY_PAUSE_S)
