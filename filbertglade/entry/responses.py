"""Error responses in the form that callers receive."""

import json
import math

from tornado import web

from filbertglade.requests import outcomes

INTERNAL_ERROR = 500


class CallerHandler(web.RequestHandler):
    """Base class of the handlers in the entry application."""

    def set_default_headers(self) -> None:
        """Remove the header that names the server software."""
        self.clear_header('Server')

    def write_error(self, status_code: int, **_: object) -> None:
        """Respond to an unexpected error, without a traceback.

        :param status_code: the HTTP status.
        """
        outcome = (
            outcomes.Outcome.UNKNOWN
            if status_code >= INTERNAL_ERROR
            else outcomes.Outcome.NOT_RUN
        )
        self.set_header(outcomes.OUTCOME_HEADER, outcome.value)
        self.finish(
            {
                'error': {
                    'message': self._reason,
                    'type': 'http-error',
                    'outcome': outcome.value,
                }
            }
        )

    def refuse(self, refusal: outcomes.Refusal) -> None:
        """Respond with a refusal.

        :param refusal: the refusal.
        """
        self.set_status(find_status(refusal))
        self.set_header(outcomes.OUTCOME_HEADER, refusal.outcome.value)
        if refusal.retry_after_ms:
            seconds = math.ceil(refusal.retry_after_ms / 1000)
            self.set_header('Retry-After', str(seconds))
        self.set_header('Content-Type', 'application/json')
        self.finish(render_refusal(refusal))


def find_status(refusal: outcomes.Refusal) -> int:
    """Return a refusal's HTTP status.

    :param refusal: the refusal.
    """
    return outcomes.STATUS_BY_REASON[
        outcomes.RefusalReason(refusal.reason.value)
    ]


def render_refusal(refusal: outcomes.Refusal) -> str:
    """Return a refusal's JSON text.

    :param refusal: the refusal.
    """
    error = {
        'message': refusal.detail or str(refusal.reason.value),
        'type': refusal.reason.value,
        'outcome': refusal.outcome.value,
    }
    if refusal.retry_after_ms:
        error['retry_after_ms'] = refusal.retry_after_ms
    return json.dumps({'error': error})
