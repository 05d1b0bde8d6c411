"""Bounds on the age of announcements: tokens, and pauses of the node."""

import asyncio

from filbertglade.membership import announcements
from filbertglade.membership import pauses
from tests.membership import fakes


def make_form(sequence, token='', held_ms=0, run='run-1'):
    return announcements.AnnouncementForm(
        host='host-1',
        run=run,
        sequence=sequence,
        region='central',
        data_centre='north',
        address='127.0.0.1:1',
        token=token,
        held_ms=held_ms,
    )


def test_a_token_bounds_the_age_of_a_buffered_announcement():
    async def main():
        inbox = announcements.AnnouncementInbox('node-run')
        token = inbox.accept(make_form(1))
        inbox.take()
        await asyncio.sleep(7)
        inbox.accept(make_form(2, token, held_ms=500))
        (taken,) = inbox.take()
        assert taken.age_ms == 6500

    fakes.run(main())


def test_a_token_of_another_run_of_the_node_proves_nothing():
    async def main():
        before = announcements.AnnouncementInbox('node-run-1')
        token = before.accept(make_form(1))
        after = announcements.AnnouncementInbox('node-run-2')
        token = after.accept(make_form(2, token))
        assert after.take() == []
        after.accept(make_form(3, token))
        assert len(after.take()) == 1

    fakes.run(main())


def test_the_newest_announcement_supersedes_queued_ones():
    async def main():
        inbox = announcements.AnnouncementInbox('node-run')
        for sequence in (1, 3, 2):
            inbox.accept(make_form(sequence))
        (taken,) = inbox.take()
        assert taken.sequence == 3
        assert inbox.take() == []

    fakes.run(main())


def test_announcements_without_a_token_are_dropped_after_a_pause():
    async def main():
        inbox = announcements.AnnouncementInbox('node-run')
        ticking = asyncio.create_task(inbox.pauses.run())
        await asyncio.sleep(1)
        inbox.accept(make_form(1))
        assert len(inbox.take()) == 1
        fakes.pause(10)
        # Read before the detector's own tick, and after it.
        inbox.accept(make_form(2))
        assert inbox.take() == []
        await asyncio.sleep(pauses.DRAIN_MS / 2000)
        inbox.accept(make_form(3))
        assert inbox.take() == []
        await asyncio.sleep(pauses.DRAIN_MS / 1000)
        inbox.accept(make_form(4))
        assert len(inbox.take()) == 1
        ticking.cancel()

    fakes.run(main())
