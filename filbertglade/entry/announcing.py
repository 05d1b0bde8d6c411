"""HTTP handler towards endpoints: their announcements."""

import json

from filbertglade.entry import responses
from filbertglade.membership import announcements
from filbertglade.membership import attachment
from filbertglade.requests import outcomes
from filbertglade import schema

HASH_BASE = 16


class AnnounceHandler(responses.CallerHandler):
    """Takes announcements."""

    def initialize(
        self,
        inbox: announcements.AnnouncementInbox,
        attached: attachment.Attachment,
        announce_ms: int,
    ) -> None:
        """Take the node's parts.

        :param inbox: where announcements go.
        :param attached: where cache events go.
        :param announce_ms: the interval endpoints are asked to keep.
        """
        self._inbox = inbox
        self._attached = attached
        self._announce_ms = announce_ms

    async def post(self) -> None:
        """Take one announcement and tell when the next is wanted."""
        try:
            data = json.loads(self.request.body)
        except (ValueError, RecursionError):
            self._refuse('the body is not valid JSON')
            return
        form, problems = schema.decode(announcements.AnnouncementForm, data)
        if form is None:
            self._refuse('; '.join(str(problem) for problem in problems))
            return
        token = self._inbox.accept(form)
        for event in form.cache_events:
            self._attached.report_cache_event(
                form.group,
                form.epoch,
                event.sequence,
                [int(item, HASH_BASE) for item in event.stored],
                [int(item, HASH_BASE) for item in event.evicted],
            )
        self.finish({'token': token, 'interval_ms': self._announce_ms})

    def _refuse(self, detail: str) -> None:
        reason = outcomes.RefusalReason.BAD_REQUEST
        self.refuse(outcomes.Refusal(reason, detail))
