"""Strikes of requests that were in flight when an endpoint crashed.

A request that crashes endpoints collects strikes and is then blocked, so that
it does not crash the whole fleet.
"""

import hashlib

from filbertglade import clock
from filbertglade.membership import attachment
from filbertglade.membership import view
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.requests import outcomes

log = logs.get_log(__name__)

STRIKE_LIMIT = 2
STRIKE_KEPT_MS = 300_000
# For this long after a first strike only the node that reported it may retry.
FIRST_STRIKE_BLOCK_MS = 5000


def digest_request(customer: str, key: str, path: str, body: bytes) -> bytes:
    """Return the digest that a request and its retries share.

    :param customer: the customer's name.
    :param key: the idempotency key, or empty.
    :param path: the call's path.
    :param body: the call's body.
    """
    digest = hashlib.sha256(f'{customer}\n{key}\n'.encode())
    if not key:
        digest.update(path.encode() + b'\n' + body)
    return digest.digest()


class StrikeTracker:
    """Records strikes, and blocks requests by the strikes of all nodes."""

    def __init__(
        self,
        fleet: view.FleetView,
        attached: attachment.Attachment,
        counters: metrics.Metrics,
    ) -> None:
        self._fleet = fleet
        self._attached = attached
        self._counters = counters

    def add(self, digest: bytes, endpoint: str) -> None:
        """Record a strike and report it to the other nodes.

        :param digest: the request's digest.
        :param endpoint: the group or worker that crashed.
        """
        self._counters.count('strikes')
        log.change(
            'request.struck', digest=digest.hex()[:16], endpoint=endpoint
        )
        self.report(digest, endpoint)

    def report(self, digest: bytes, endpoint: str) -> None:
        """Report a strike to the other nodes, for the first time or again.

        :param digest: the request's digest.
        :param endpoint: the group or worker that crashed.
        """
        self._attached.report_strike(digest, endpoint)

    def find_obstacle(
        self, digest: bytes, was_sent: bool
    ) -> outcomes.Refusal | None:
        """Return why a request may not be sent to an endpoint.

        :param digest: the request's digest.
        :param was_sent: whether this node already sent it to one.
        :returns: the refusal, or None.
        """
        found = self._fleet.strikes.find(digest)
        if not found:
            return None
        newest_ms = max(found.values())
        if len(found) >= STRIKE_LIMIT:
            block_ms = STRIKE_KEPT_MS
        elif not was_sent:
            # The node that reported the strike may be retrying on the one
            # further endpoint that is allowed.
            block_ms = FIRST_STRIKE_BLOCK_MS
        else:
            return None
        remaining_ms = newest_ms + block_ms - clock.now_ms()
        if remaining_ms <= 0:
            return None
        return outcomes.Refusal(
            outcomes.RefusalReason.STRUCK,
            f'{len(found)} endpoints crashed while they ran this request',
            retry_after_ms=remaining_ms,
        )
