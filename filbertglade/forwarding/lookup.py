"""Finds the route and the customer of a request."""

import enum

from filbertglade import clock
from filbertglade import failures
from filbertglade.fleet import document
from filbertglade.forwarding import context
from filbertglade.forwarding import request_record
from filbertglade.forwarding import server

# Retry-After times of refusals, in s. The first document comes within a
# fraction of a second.
STARTUP_RETRY_AFTER_S = 0.8
# Other nodes accept the request immediately.
SHUTDOWN_RETRY_AFTER_S = 0.1
# Another node may have the newer document already; all have it within seconds.
DOCUMENT_RETRY_AFTER_S = 0.5
# Longest wait for a newer document, in ms: the leader's longest interval
# between two frames. A refused caller needs the rest of its time elsewhere.
MAX_DOCUMENT_WAIT_MS = 250
# The same for the first document of a process that has just started, in ms.
MAX_FIRST_DOCUMENT_WAIT_MS = 1000
# The same as a fraction of the time until the deadline: the rest is for the
# response, or for another node.
MAX_WAIT_FRACTION = 0.25


class LookupReason(enum.Enum):
    """Why a request's route or customer isn't known.

    The values are sent to the caller.
    """

    SHUTTING_DOWN = 'shutting down'
    NO_DOCUMENT = 'no document yet'
    NO_ROUTE = 'no such route'
    UNKNOWN_KEY = 'unknown key'
    # The document in force doesn't allow it, and a newer one may.
    NOT_HERE_YET = 'configuration not here yet'


# Status and Retry-After, in s, of the refusal for each reason.
LOOKUP_REFUSALS: dict[enum.Enum, tuple[int, float | None]] = {
    LookupReason.SHUTTING_DOWN: (503, SHUTDOWN_RETRY_AFTER_S),
    LookupReason.NO_DOCUMENT: (503, STARTUP_RETRY_AFTER_S),
    LookupReason.NO_ROUTE: (404, None),
    LookupReason.UNKNOWN_KEY: (401, None),
    LookupReason.NOT_HERE_YET: (503, DOCUMENT_RETRY_AFTER_S),
}


class RouteLookup:
    """Finds the route and the customer of one request.

    :param shared: state that all requests share.
    :param request: the request.
    :param record: gets the route and the customer.
    """

    def __init__(
        self,
        shared: context.ForwardingContext,
        request: server.CallerRequest,
        record: request_record.RequestRecord,
    ) -> None:
        self._context = shared
        self._request = request
        self._record = record

    async def find(self) -> document.Route | failures.Failure:
        """Find the request's route and customer.

        :returns: the route, or why the request can't be served.
        """
        route = self.look_up()
        if _lacks_document(route) and self._context.is_starting:
            route = await self._look_up_in_first(route)
        if _depends_on_document(route):
            route = await self._look_up_in_newer(route)
        return route

    def look_up(self) -> document.Route | failures.Failure:
        """Find the request's route and customer in the document in force.

        :returns: the route, or why the request can't be served.
        """
        shared = self._context
        request = self._request
        record = self._record
        record.route = record.customer = None
        request.closes_connection = shared.is_stopping
        if shared.is_refusing_requests:
            return failures.Failure(LookupReason.SHUTTING_DOWN)
        index = shared.view.index
        if index is None:
            return failures.Failure(LookupReason.NO_DOCUMENT)
        route = index.find_route(request.hostname, request.path)
        if route is None:
            return failures.Failure(LookupReason.NO_ROUTE)
        record.route = route
        if not self._authenticate(index, route):
            return failures.Failure(LookupReason.UNKNOWN_KEY)
        return route

    async def _look_up_in_newer(
        self, result: document.Route | failures.Failure
    ) -> document.Route | failures.Failure:
        """Wait for a document that may hold the request's route and key.

        :param result: why the document in force doesn't allow the request.
        :returns: the route; the reason, if the document in force is certainly
            the newest; or that a newer one hasn't come.
        """
        certainty = self._context.certainty
        end_ms = clock.now_ms() + self._limit_wait_ms(MAX_DOCUMENT_WAIT_MS)
        while _depends_on_document(result):
            doubt = certainty.find_doubt()
            if doubt is None:
                break
            limit_ms = end_ms - clock.now_ms()
            detail = f'{result}; {doubt.value}'
            if not certainty.has_room:
                detail = f'{detail}; too many requests wait'
            if not await self._hold(detail, limit_ms):
                return failures.Failure(LookupReason.NOT_HERE_YET, detail)
            result = self.look_up()
        return result

    async def _look_up_in_first(
        self, result: document.Route | failures.Failure
    ) -> document.Route | failures.Failure:
        """Wait for the first document, and look up the request there.

        Callers that a loss of power sends back to all hosts at once would
        spend their retries before any host has a document.

        :param result: that there is no document.
        :returns: the route, or why the request can't be served.
        """
        end_ms = clock.now_ms() + self._limit_wait_ms(
            MAX_FIRST_DOCUMENT_WAIT_MS
        )
        while _lacks_document(result):
            limit_ms = end_ms - clock.now_ms()
            if not await self._hold(str(result), limit_ms):
                break
            result = self.look_up()
        return result

    async def _hold(self, reason: str, limit_ms: int) -> bool:
        """Wait until what is known of documents changes.

        :param reason: why the request waits.
        :param limit_ms: longest wait, in ms; the request isn't held without
            any, nor while too many others are.
        :returns: whether there was a change within the limit.
        """
        certainty = self._context.certainty
        if limit_ms <= 0 or not certainty.has_room:
            return False
        self._record.count('requests_held')
        self._record.write(
            'request.held',
            reason=reason,
            limit_ms=limit_ms,
            **self._record.describe_document(),
        )
        return await certainty.wait_for_change(limit_ms)

    def _limit_wait_ms(self, longest_ms: int) -> int:
        """Return how long to wait for a document, in ms; 0 for not at all.

        :param longest_ms: the longest wait whatever the deadline, in ms.
        """
        remaining_ms = self._record.deadline_ms - clock.now_ms()
        if (
            self._context.is_stopping
            or remaining_ms < context.MIN_REMAINING_MS
        ):
            return 0
        return min(longest_ms, int(remaining_ms * MAX_WAIT_FRACTION))

    def _authenticate(
        self, index: document.RoutingIndex, route: document.Route
    ) -> bool:
        """Identify the customer; return whether the request is permitted."""
        key = self._request.headers.get(self._context.dialect.key, '')
        customer = index.find_customer(key) if key else None
        self._record.customer = customer
        return customer is not None or not index.needs_keys or route.public


def _lacks_document(result: document.Route | failures.Failure) -> bool:
    """Return whether there is no document to look up a request in."""
    return (
        isinstance(result, failures.Failure)
        and result.reason is LookupReason.NO_DOCUMENT
    )


def _depends_on_document(result: document.Route | failures.Failure) -> bool:
    """Return whether a newer document may allow a request."""
    return isinstance(result, failures.Failure) and result.reason in (
        LookupReason.NO_ROUTE,
        LookupReason.UNKNOWN_KEY,
    )
