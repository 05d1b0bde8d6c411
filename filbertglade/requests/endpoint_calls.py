"""Builds the HTTP requests that are sent to endpoints."""

import dataclasses
import json
import uuid

from filbertglade.requests import caller_request
from filbertglade.requests import endpoint_pool
from filbertglade.requests import event_stream
from filbertglade.routing import selection

REQUEST_ID_HEADER = 'X-Request-Id'
GROUP_HEADER = 'X-Group'
EPOCH_HEADER = 'X-Epoch'
PRIORITY_HEADER = 'X-Priority'
DEADLINE_HEADER = 'X-Deadline-Ms'
RESUME_HEADER = 'X-Resume-From'
CONTINUATION_FIELD = 'continuation'


def new_request_id() -> str:
    """Return a unique ID for one run of a request."""
    return uuid.uuid4().hex


def build_call(
    request: caller_request.CallerRequest,
    candidate: selection.Candidate,
    request_id: str,
    remaining_ms: int,
) -> endpoint_pool.Call:
    """Return the HTTP request for an endpoint.

    :param request: the caller's request.
    :param candidate: the endpoint.
    :param request_id: the ID of the run.
    :param remaining_ms: time until the request's deadline, in milliseconds.
    """
    headers = dict(request.call.headers)
    headers[REQUEST_ID_HEADER] = request_id
    headers[DEADLINE_HEADER] = str(max(remaining_ms, 1))
    if not request.is_service:
        headers[GROUP_HEADER] = candidate.name
        headers[EPOCH_HEADER] = str(candidate.epoch)
    return endpoint_pool.Call(
        request.call.method,
        request.call.path,
        headers,
        request.call.body,
        needs_new_connection=not request.is_repeatable,
    )


def build_resumption(
    call: endpoint_pool.Call, tokens: int
) -> endpoint_pool.Call:
    """Return the request that resumes a broken stream on the same engine.

    :param call: the original request.
    :param tokens: the number of events with text already passed on.
    """
    headers = {**call.headers, RESUME_HEADER: str(tokens)}
    return dataclasses.replace(
        call, headers=headers, needs_new_connection=True
    )


def build_continuation(
    call: endpoint_pool.Call, progress: event_stream.StreamProgress
) -> endpoint_pool.Call:
    """Return the request that continues a text on another engine.

    :param call: the original request.
    :param progress: the part of the stream already passed on.
    """
    body = json.loads(call.body)
    body[CONTINUATION_FIELD] = {
        'text': progress.text,
        'tokens': progress.tokens,
    }
    return dataclasses.replace(call, body=json.dumps(body).encode())
