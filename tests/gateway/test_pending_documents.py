"""Documents that are sent again while they are being accepted."""

import asyncio

import pytest

from filbertglade.gateway import pending_documents
from tests.fleet import documents
from tests import virtual_time

TEXT = documents.write_routes(7, 1_000_000)
# Time from which an operator sends a document again.
RESEND_S = 1.0
TIMEOUT_MS = 2500


class Log:
    """Counts the entries that acceptances add to a log.

    :param check_s: time to check a document.
    :param commit_s: time until an entry is committed.
    """

    def __init__(self, check_s=0.2, commit_s=2.4):
        self.check_s = check_s
        self.commit_s = commit_s
        self.entries = 0
        self.pending = pending_documents.PendingDocuments()

    async def accept(self, checked):
        await asyncio.sleep(self.check_s)
        checked.set()
        self.entries += 1
        await asyncio.sleep(self.commit_s)
        return f'entry {self.entries}'

    async def send(self, at_s=0.0, text=TEXT):
        await asyncio.sleep(at_s)
        # Each sender's text is an object of its own.
        return await self.pending.join(
            bytes(bytearray(text)), self.accept, TIMEOUT_MS
        )


# Guards against load that grows while the system is slow: each resend of a
# large document was read, packed, logged and replicated whole again.
def test_three_resends_within_one_commit_add_one_entry():
    async def check():
        log = Log()
        outcomes = await asyncio.gather(
            *(log.send(at_s) for at_s in (0, 0.1, RESEND_S, 2 * RESEND_S))
        )
        assert outcomes == ['entry 1'] * 4
        assert log.entries == 1

    virtual_time.run(check())


# Guards against a further entry for each time-out of a commit that takes long.
def test_a_resend_after_a_time_out_joins_the_same_entry():
    async def check():
        log = Log(commit_s=6)
        assert await log.send() is None
        assert await log.send() is None
        assert await log.send() == 'entry 1'
        assert log.entries == 1

    virtual_time.run(check())


def test_a_sender_that_leaves_cancels_the_commit_for_no_other():
    async def check():
        log = Log()
        first = asyncio.create_task(log.send())
        second = asyncio.create_task(log.send())
        await asyncio.sleep(RESEND_S)
        first.cancel()
        assert await second == 'entry 1'
        assert await asyncio.gather(first, return_exceptions=True) != []
        assert first.cancelled()
        assert log.entries == 1

    virtual_time.run(check())


def test_another_text_and_a_later_sender_have_entries_of_their_own():
    async def check():
        log = Log()
        other = TEXT[:-1] + b' '
        await asyncio.gather(log.send(), log.send(text=other))
        assert log.entries == 2
        assert await log.send() == 'entry 3'

    virtual_time.run(check())


def test_the_time_to_check_a_document_is_no_part_of_the_time_out():
    async def check():
        log = Log(check_s=6)
        assert await log.send() == 'entry 1'

    virtual_time.run(check())


def test_an_error_reaches_every_sender_and_the_next_one_tries_again():
    async def check():
        log = Log()

        async def fail(checked):
            await asyncio.sleep(1)
            raise MemoryError

        failing = [log.pending.join(TEXT, fail, TIMEOUT_MS) for _ in range(2)]
        results = await asyncio.gather(*failing, return_exceptions=True)
        assert [type(result) for result in results] == [MemoryError] * 2
        assert await log.send() == 'entry 1'

    virtual_time.run(check())


@pytest.mark.parametrize('at_s', [0.1, RESEND_S])
def test_senders_are_answered_when_the_host_closes(at_s):
    async def check():
        log = Log()
        sender = asyncio.create_task(log.send())
        await asyncio.sleep(at_s)
        await log.pending.close()
        assert await sender is None

    virtual_time.run(check())
