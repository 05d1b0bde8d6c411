"""HTTP handler for the announcements of endpoints."""

import json

from filbertglade.entry import responses
from filbertglade.membership import announcements
from filbertglade.membership import attachment
from filbertglade.requests import outcomes
from filbertglade import schema

HEX_BASE = 16  # prefix hashes arrive in hexadecimal


class AnnounceHandler(responses.CallerHandler):
    """Receives announcements and their cache events."""

    def initialize(
        self,
        inbox: announcements.AnnouncementInbox,
        attached: attachment.Attachment,
        announce_ms: int,
    ) -> None:
        """Set the components that the handler uses.

        :param inbox: receives the announcements.
        :param attached: the node's attachment; receives the cache events.
        :param announce_ms: interval at which endpoints are to announce.
        """
        self._inbox = inbox
        self._attached = attached
        self._announce_ms = announce_ms

    async def post(self) -> None:
        """Accept an announcement; respond with the announcement interval."""
        try:
            data = json.loads(self.request.body)
        except (ValueError, RecursionError):
            self._refuse_request('the body is not valid JSON')
            return
        form, problems = schema.decode(announcements.AnnouncementForm, data)
        if form is None:
            self._refuse_request(
                '; '.join(str(problem) for problem in problems)
            )
            return
        token = self._inbox.accept(form)
        for event in form.cache_events:
            self._attached.report_cache_event(
                form.group,
                form.epoch,
                event.sequence,
                [int(item, HEX_BASE) for item in event.stored],
                [int(item, HEX_BASE) for item in event.evicted],
            )
        self.finish({'token': token, 'interval_ms': self._announce_ms})

    def _refuse_request(self, detail: str) -> None:
        reason = outcomes.RefusalReason.BAD_REQUEST
        self.refuse(outcomes.Refusal(reason, detail))
