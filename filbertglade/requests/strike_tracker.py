"""Strikes against requests that were in flight when an endpoint crashed."""

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
# For this long after a strike only the node that reported it goes on.
SUSPECT_MS = 5000


def digest_request(customer: str, key: str, path: str, body: bytes) -> bytes:
    """Return what a resend of a request has in common with it.

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
    """Gives strikes, and judges requests by those of all nodes."""

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
        """Give a strike and tell the other nodes.

        :param digest: the request's digest.
        :param endpoint: the group or worker that crashed.
        """
        self._counters.count('strikes')
        log.change(
            'request.struck', digest=digest.hex()[:16], endpoint=endpoint
        )
        self.report(digest, endpoint)

    def report(self, digest: bytes, endpoint: str) -> None:
        """Tell the other nodes of a strike, or tell them again.

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
            lasts_ms = STRIKE_KEPT_MS
        elif not was_sent:
            # Whoever gave the strike may be trying the one further endpoint.
            lasts_ms = SUSPECT_MS
        else:
            return None
        left_ms = newest_ms + lasts_ms - clock.now_ms()
        if left_ms <= 0:
            return None
        return outcomes.Refusal(
            outcomes.RefusalReason.STRUCK,
            f'{len(found)} endpoints crashed while they ran this request',
            retry_after_ms=left_ms,
        )
