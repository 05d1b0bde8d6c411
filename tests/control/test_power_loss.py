"""Data folders after kills and losses of power at any step."""

import asyncio
import fcntl
import itertools
import random

import pytest

from filbertglade.control import disk_worker
from filbertglade.control import file_storage
from filbertglade.control import journal
from filbertglade.control import segments
from filbertglade.control import store
from filbertglade.inner import agreement_pb2
from filbertglade import tasks
from tests.control import modelled_disk

NAME = 'one'
ROUNDS = 6
OPERATIONS = 6
SEEDS = range(150)
# More steps than a first start has.
LAST_STEP = 12
# Index in the log after which it is truncated.
TRUNCATED_FROM = 3


def entry(index, term):
    return agreement_pb2.LogEntry(index=index, term=term, command=b'x' * 30)


class Folder:
    """A voter's folder, and what the voter may have told others of it.

    What a start reads counts as told: the voter acknowledges it without
    writing it again.

    :ivar terms: terms of the entries after the snapshot, by index.
    """

    def __init__(self, disk, is_founder):
        self.disk = disk
        self.rng = disk.rng
        self.is_founder = is_founder
        self.storage = None
        self.identity = None
        self.vote = store.Vote()
        self.point = store.SnapshotPoint()
        self.terms = {}
        self.committed = 0
        self.pending_vote = None
        self.pending_point = None
        self.trace = []

    @property
    def last(self):
        return max(self.terms, default=self.point.index)

    def verify(self, stored):
        """Verify that a start has read what was told to others."""
        assert not isinstance(stored, store.StorageFailure), stored
        if self.identity is not None:
            assert stored.identity == self.identity, 'identity is lost'
        assert stored.vote in (self.vote, self.pending_vote), (
            f'vote is lost: {stored.vote}, not {self.vote}'
        )
        assert stored.snapshot in (self.point, self.pending_point), (
            f'snapshot is lost: {stored.snapshot}, not {self.point}'
        )
        read = {item.index: item.term for item in stored.entries}
        if stored.snapshot.index <= max(self.terms, default=0):
            lost = {
                index: term
                for index, term in self.terms.items()
                if index > stored.snapshot.index and read.get(index) != term
            }
            assert not lost, f'entries are lost: {lost}'

    async def start(self):
        """Start a voter's process: read the folder and tell others of it."""
        self.storage = file_storage.FileStorage(
            self.disk.folder, self.is_founder
        )
        stored = await self.storage.open(NAME)
        self.verify(stored)
        self.identity = stored.identity
        self.vote = stored.vote
        self.point = stored.snapshot
        self.terms = {
            item.index: item.term
            for item in stored.entries
            if item.index > self.point.index
        }
        self.committed = max(
            self.committed, stored.committed_index, self.point.index
        )
        self.pending_vote = self.pending_point = None

    async def save_vote(self):
        self.pending_vote = store.Vote(
            self.vote.term + 1, self.rng.choice(['', 'two'])
        )
        assert await self.storage.save_vote(self.pending_vote) is None
        self.vote, self.pending_vote = self.pending_vote, None

    async def append(self):
        if not self.vote.term:
            return
        first = self.last + 1
        batch = [
            entry(first + offset, self.vote.term)
            for offset in range(self.rng.randrange(1, 4))
        ]
        assert await self.storage.append(batch, self.committed) is None
        self.terms.update((item.index, item.term) for item in batch)
        self.committed = self.rng.randint(self.committed, self.last)

    async def truncate(self):
        if self.last <= self.committed:
            return
        first = self.rng.randint(self.committed + 1, self.last)
        self.terms = {
            index: term for index, term in self.terms.items() if index < first
        }
        assert await self.storage.truncate(first) is None

    async def take_snapshot(self):
        point = store.SnapshotPoint(
            self.committed, self.terms.get(self.committed, 0)
        )
        if self.committed not in self.terms:
            return
        await self.write_snapshot(point)
        await self.compact(self.rng.randint(1, point.index))

    async def compact(self, first_kept=None):
        first_kept = first_kept or self.point.index
        assert await self.storage.compact(first_kept) is None

    async def install_snapshot(self):
        if not self.vote.term:
            return
        await self.write_snapshot(
            store.SnapshotPoint(self.last + 5, self.vote.term)
        )
        assert await self.storage.truncate(0) is None

    async def write_snapshot(self, point):
        self.pending_point = point
        writer = await self.storage.begin_snapshot(point)
        assert await writer.write(b'state' * 9) is None
        assert await writer.commit() is None
        self.point, self.pending_point = point, None
        self.committed = max(self.committed, point.index)
        self.terms = {
            index: term
            for index, term in self.terms.items()
            if index > point.index
        }

    async def act(self):
        """Run an operation that is drawn."""
        operation = self.rng.choice(
            [
                self.append,
                self.append,
                self.append,
                self.save_vote,
                self.truncate,
                self.take_snapshot,
                self.install_snapshot,
            ]
        )
        self.trace.append(operation.__name__)
        await operation()

    def end(self, loses_power):
        """End the process, with or without a loss of power."""
        self.trace.append('power' if loses_power else 'kill')
        if loses_power:
            self.disk.lose_power()
        else:
            self.disk.kill()


class InlineWorker(disk_worker.DiskWorker):
    """Runs calls at once: thousands of short ones need no thread."""

    async def run(self, work, reason):
        try:
            return work()
        except OSError as error:
            return store.StorageFailure(reason, str(error))


@pytest.fixture
def make_folder(tmp_path, monkeypatch):
    """Return a function that makes a folder on a modelled disk."""
    # Files are locked by descriptors, which outlive a modelled kill.
    monkeypatch.setattr(fcntl, 'flock', lambda descriptor, operation: None)
    monkeypatch.setattr(segments, 'SEGMENT_BYTES', 200)
    monkeypatch.setattr(disk_worker, 'DiskWorker', InlineWorker)
    made = []

    def make(seed=0, needs_folder_sync=False, is_founder=True):
        path = tmp_path / f'data-{len(made)}'
        disk = modelled_disk.ModelledDisk(
            path, random.Random(seed), needs_folder_sync
        )
        made.append(disk)
        disk.install(monkeypatch)
        return Folder(disk, is_founder)

    yield make
    for disk in made:
        disk.kill()


async def run_case(folder, ends):
    """Run rounds of a start, operations and an end at a step drawn.

    :param ends: draws from these whether a round ends with a loss of power.
    """
    rng = folder.rng
    for _ in range(ROUNDS):
        if rng.random() < 0.7:
            folder.disk.steps_left = rng.randrange(1, 16)
        try:
            await folder.start()
            for _ in range(rng.randrange(OPERATIONS)):
                await folder.act()
        except modelled_disk.Killed:
            folder.trace.append('killed')
        folder.end(rng.choice(ends))
    await folder.start()


async def find_failures(make_folder, prepare, interrupted, then, **options):
    """Kill processes at each step of changes, and lose power afterwards.

    :param prepare: what the first process did before the change.
    :param interrupted: the change, killed at each of its steps.
    :param then: what the next process does, killed at each of its steps as
        well; if None, there is none before the loss of power.
    :returns: what the start after it found wrong, by seed, share of the
        changes kept, and steps.
    """
    found = {}
    for seed, kept_share in itertools.product(range(3), (0.0, 0.6)):
        for first in itertools.count(1):
            for second in itertools.count(1):
                folder = make_folder(seed, **options)
                await folder.start()
                await prepare(folder)
                is_done = await run_killed(folder, first, interrupted)
                is_second_done = True
                if then is not None:
                    folder.disk.kill()
                    if then is not Folder.start:
                        await folder.start()
                    is_second_done = await run_killed(folder, second, then)
                if then is Folder.start and is_second_done:
                    # It was not interrupted.
                    folder.disk.kill()
                    break
                message = await lose_power(folder, kept_share)
                if message:
                    found[seed, kept_share, first, second] = message
                if is_second_done:
                    break
            if is_done:
                break
    return found


async def lose_power(folder, kept_share):
    """Lose power and start; return what the start found wrong."""
    folder.disk.lose_power(kept_share)
    try:
        await folder.start()
    except AssertionError as error:
        return str(error).splitlines()[0]
    finally:
        folder.disk.kill()
    return ''


async def run_killed(folder, step, change):
    """Kill the process at a step of a change; return whether it had fewer."""
    folder.disk.steps_left = step
    try:
        await change(folder)
    except modelled_disk.Killed:
        return False
    folder.disk.steps_left = None
    return True


async def do_nothing(folder):
    """Stand for a change that isn't needed."""


async def append_three(folder):
    for _ in range(3):
        await folder.append()


async def vote_and_append(folder):
    await folder.save_vote()
    await append_three(folder)


# Guards against a voter that starts again after a kill, confirms a vote that
# it read, and forgets it when power is lost.
async def test_vote_read_after_a_kill_survives_a_loss_of_power(make_folder):
    assert not await find_failures(
        make_folder, Folder.save_vote, Folder.save_vote, do_nothing
    )


# Guards against a voter that starts again after a kill, acknowledges entries
# that it read, and has lost them when power returns.
async def test_entries_read_after_a_kill_survive_a_loss_of_power(make_folder):
    found = await find_failures(
        make_folder, vote_and_append, Folder.append, do_nothing
    )
    assert not found


# Guards against a voter that refuses to start after a kill and a loss of
# power, because a batch that no sync covered counts as damaged.
async def test_folder_of_a_killed_append_is_not_refused(make_folder):
    found = await find_failures(
        make_folder, vote_and_append, Folder.append, append_three
    )
    refused = [step for step, message in found.items() if 'BROKEN' in message]
    assert not refused, found[refused[0]]


# Guards against a voter that lost its identity, and with it its place among
# the voters, in a loss of power after a kill during its first start.
async def test_identity_read_after_a_kill_survives_a_loss_of_power(
    make_folder,
):
    found = {}
    for is_founder in (True, False):
        for step in range(1, LAST_STEP):
            folder = make_folder(step, is_founder=is_founder)
            await run_killed(folder, step, Folder.start)
            folder.disk.kill()
            await folder.start()
            message = await lose_power(folder, 0.0)
            if message:
                found[is_founder, step] = message
    assert not found


# Guards against a founder that was killed while its folder was marked, and
# no longer counts as one: the cluster then may never be founded.
async def test_founder_killed_at_its_first_start_founds_at_the_next(
    make_folder,
):
    found = {}
    for step in range(1, LAST_STEP):
        folder = make_folder(step)
        await run_killed(folder, step, Folder.start)
        folder.disk.kill()
        await folder.start()
        if not folder.identity.founding:
            found[step] = folder.identity
        folder.disk.kill()
    assert not found


async def append_and_take_snapshot(folder):
    await vote_and_append(folder)
    folder.committed = folder.last - 1
    await folder.take_snapshot()
    await append_three(folder)
    folder.committed = folder.last


# Guards against a start that removes the older snapshot while a loss of power
# can still undo the name of the newer one: no state is left.
@pytest.mark.parametrize('change', ['take_snapshot', 'install_snapshot'])
async def test_snapshot_of_a_killed_process_survives_a_loss_of_power(
    make_folder, change
):
    found = await find_failures(
        make_folder,
        append_and_take_snapshot,
        getattr(Folder, change),
        do_nothing,
    )
    assert not found


# Guards against a start that removes files while a loss of power can still
# undo the change that replaced them.
@pytest.mark.parametrize(
    'change', ['take_snapshot', 'install_snapshot', 'append', 'save_vote']
)
async def test_start_interrupted_by_a_loss_of_power_loses_nothing(
    make_folder, change
):
    found = await find_failures(
        make_folder,
        append_and_take_snapshot,
        getattr(Folder, change),
        Folder.start,
    )
    assert not found


async def append_many(folder):
    await folder.save_vote()
    for _ in range(8):
        await folder.append()
        folder.committed = 0


async def append_many_and_take_snapshot(folder):
    await append_many(folder)
    folder.committed = folder.last - 1
    await folder.write_snapshot(store.SnapshotPoint(folder.committed, 1))


# Guards against a voter that refuses to start after a loss of power during a
# compaction: of two removed segments only the older one came back.
async def test_compaction_interrupted_by_a_loss_of_power(make_folder):
    found = await find_failures(
        make_folder, append_many_and_take_snapshot, Folder.compact, None
    )
    assert not found


async def truncate_many(folder):
    folder.terms = {
        index: term
        for index, term in folder.terms.items()
        if index <= TRUNCATED_FROM
    }
    assert await folder.storage.truncate(TRUNCATED_FROM + 1) is None


# Guards against a voter that refuses to start after a kill and a loss of
# power, because a segment that it had removed came back beside newer entries.
async def test_removed_segment_does_not_return_beside_newer_entries(
    make_folder,
):
    assert not await find_failures(
        make_folder, append_many, truncate_many, Folder.append
    )


# Guards against a voter that loses acknowledged entries with a segment whose
# name was never synced, because a kill came just after its creation.
async def test_segment_created_by_a_killed_process_keeps_its_name(
    make_folder, monkeypatch
):
    monkeypatch.setattr(segments, 'SEGMENT_BYTES', 1)
    folder = make_folder(needs_folder_sync=True)
    await folder.start()
    await folder.save_vote()
    await folder.append()
    assert not await run_killed(folder, 2, Folder.append)
    folder.disk.kill()
    await folder.start()
    await folder.append()
    assert not await lose_power(folder, 0.0)


async def fail_one_append(folder):
    folder.disk.failing_syncs = 1
    batch = [entry(folder.last + 1, folder.vote.term)]
    assert await folder.storage.append(batch, folder.committed) is not None
    await folder.storage.close()


# Guards against a voter that starts again after a failed sync and relies on
# what it reads: a later sync doesn't write the earlier pages.
async def test_entries_of_a_failed_sync_are_written_again(make_folder):
    assert not await find_failures(
        make_folder, vote_and_append, fail_one_append, append_three
    )


# Guards against a voter that goes on after a failed write, because the task
# that waited for it was cancelled: its folder then holds a record twice.
async def test_failed_write_of_a_cancelled_task_is_not_forgotten(make_folder):
    folder = make_folder()
    await folder.start()
    await vote_and_append(folder)
    folder.disk.kill()
    await folder.start()
    stored = await reopen(folder)
    background = tasks.TaskGroup()
    written = journal.Journal(folder.storage, stored, background)
    index = written.last_index + 1
    written.append([entry(index, 1)])
    folder.disk.is_full = True
    waiting = asyncio.create_task(written.flush(0))
    await asyncio.sleep(0)
    waiting.cancel()
    # Another leader's entry replaces it; the disk has room again.
    assert await written.truncate(index) is None
    folder.disk.is_full = False
    written.append([entry(index, 2)])
    failure = await written.flush(0)
    if failure is None:
        folder.terms[index] = 2
    await folder.storage.close()
    folder.disk.kill()
    await folder.start()


async def reopen(folder):
    """Close and open the folder; return what was read."""
    await folder.storage.close()
    folder.storage = file_storage.FileStorage(folder.disk.folder)
    return await folder.storage.open(NAME)


async def run_seeds(make_folder, ends, seeds=SEEDS):
    """Run cases that are drawn; return what starts found wrong by seed."""
    found = {}
    for seed in seeds:
        folder = make_folder(seed)
        try:
            await run_case(folder, ends)
        except AssertionError as error:
            found[seed] = (str(error).splitlines()[0], folder.trace)
        folder.disk.kill()
    return found


# Guards against a voter that loses or refuses its folder after kills.
async def test_folders_survive_kills_at_any_step(make_folder):
    assert not await run_seeds(make_folder, [False])


# Guards against a voter that loses or refuses its folder after losses of
# power.
async def test_folders_survive_losses_of_power_at_any_step(make_folder):
    assert not await run_seeds(make_folder, [True])


# Guards against a voter that takes what it can read for durable, whatever it
# did and wherever it was killed.
async def test_folders_survive_kills_and_losses_of_power(make_folder):
    assert not await run_seeds(make_folder, [False, True])
