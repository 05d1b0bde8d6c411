"""Refuses requests, and tells their callers when to come back."""

from collections import abc

from filbertglade import clock
from filbertglade.forwarding import admission
from filbertglade.forwarding import context
from filbertglade.forwarding import request_demand
from filbertglade.forwarding import request_record
from filbertglade.forwarding import server


class Refusals:
    """Refuses one request.

    :param shared: state that all requests share.
    :param request: the request.
    :param record: logs and counts the refusal.
    :param demand: what the request demands.
    :param tried: load keys of the targets that were tried.
    """

    def __init__(
        self,
        shared: context.ForwardingContext,
        request: server.CallerRequest,
        record: request_record.RequestRecord,
        demand: request_demand.RequestDemand,
        tried: abc.Sequence[str],
    ) -> None:
        self._context = shared
        self._request = request
        self._record = record
        self._demand = demand
        self._tried = tried

    def refuse(
        self,
        status: int,
        detail: str,
        retry_s: float | None = None,
        is_earliest: bool = False,
        lacking_room: admission.Demand | None = None,
    ) -> None:
        """Refuse the request.

        :param status: the status of the response.
        :param detail: why, for the caller and the log.
        :param retry_s: when to come back, in s; None to name no time.
        :param is_earliest: whether coming back sooner is of no use.
        :param lacking_room: what it demands if all replicas are full.
        """
        shared = self._context
        headers = {}
        if retry_s is not None:
            retry_s = shared.admission.choose_retry_s(
                lacking_room, retry_s, is_earliest, shared.rng
            )
            headers['Retry-After'] = f'{retry_s:.2f}'
        if lacking_room is not None:
            shared.admission.record_refusal(lacking_room)
        self._record.count('refusals', outcome=str(status))
        self._record.write(
            'request.refused',
            status=status,
            reason=detail,
            retry_after=headers.get('Retry-After'),
            held_ms=clock.now_ms() - self._request.received_ms,
            left_ms=self._demand.remaining_ms,
            prompt_tokens=self._demand.prompt_tokens,
            answer_tokens=self._demand.answer_tokens,
            sends=self._record.send_count,
            tried=self._tried,
            **self._record.describe_document(),
        )
        self._request.respond(status, detail.encode() + b'\n', headers)
