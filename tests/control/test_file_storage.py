"""The data folder: torn tails, damage and failed writes."""

import asyncio
import os
import pathlib

import pytest

from filbertglade.control import failures
from filbertglade.control import file_storage
from filbertglade.control import files
from filbertglade.control import identity
from filbertglade.control import segments
from filbertglade.control import store
from filbertglade.inner import agreement_pb2
from tests.control import cluster

Reason = failures.StorageReason


def entry(index, term=1, size=20):
    return agreement_pb2.LogEntry(
        index=index, term=term, command=bytes([index % 251]) * size
    )


@pytest.fixture
def folder(tmp_path):
    settings = cluster.make_settings('one', ['one'], str(tmp_path / 'data'))
    assert identity.init_control(settings) is None
    return tmp_path / 'data'


async def open_folder(folder):
    opened = file_storage.FileStorage(folder)
    return opened, await opened.open('one')


async def write(folder, batches, committed_index=0):
    opened, _ = await open_folder(folder)
    await opened.save_vote(store.Vote(1, 'one'))
    index = 1
    for count in batches:
        batch = [entry(index + offset) for offset in range(count)]
        assert await opened.append(batch, committed_index) is None
        index += count
    await opened.close()


async def read(folder):
    opened, stored = await open_folder(folder)
    await opened.close()
    return stored


def log_files(folder):
    return sorted(folder.glob('log-*'))


async def test_keeps_what_was_synced(folder):
    await write(folder, [1, 3, 2], committed_index=5)
    stored = await read(folder)
    assert [item.index for item in stored.entries] == [1, 2, 3, 4, 5, 6]
    assert stored.vote == store.Vote(1, 'one')
    assert stored.identity.founding
    # The last batch stores that all records before it are committed.
    assert stored.committed_index == 4


def record_syncs(monkeypatch):
    """Return a set to which the paths of all synced files are added."""
    synced = set()
    for name in ('fsync', 'fdatasync'):
        sync = getattr(os, name)

        def record(descriptor, sync=sync):
            synced.add(os.readlink(f'/proc/self/fd/{descriptor}'))
            sync(descriptor)

        monkeypatch.setattr(os, name, record)
    return synced


# Guards against records that a process wrote and, as it was killed, didn't
# sync: the next process acknowledges them, and a power loss takes them back.
async def test_records_are_synced_before_they_count_as_stored(
    folder, monkeypatch
):
    await write(folder, [1])
    opened, _ = await open_folder(folder)
    with monkeypatch.context() as patches:
        patches.setattr(os, 'fdatasync', lambda descriptor: None)
        assert await opened.append([entry(2)], 0) is None
    await opened.close()
    synced = record_syncs(monkeypatch)
    stored = await read(folder)
    assert [item.index for item in stored.entries] == [1, 2]
    assert str(log_files(folder)[-1]) in synced


# Guards against a vote whose file was renamed by a process that was killed
# before it synced the folder: a power loss lets the voter vote again.
async def test_vote_is_synced_before_it_counts_as_stored(folder, monkeypatch):
    await write(folder, [1])
    opened, _ = await open_folder(folder)
    with monkeypatch.context() as patches:
        patches.setattr(files, 'sync_folder', lambda synced_folder: None)
        assert await opened.save_vote(store.Vote(2, 'two')) is None
    await opened.close()
    synced = record_syncs(monkeypatch)
    assert (await read(folder)).vote == store.Vote(2, 'two')
    assert str(folder) in synced


# Guards against a snapshot whose rename a power loss takes back after the one
# before it was removed: the voter then refuses to start, for good.
async def test_snapshot_is_synced_before_the_one_before_it_is_removed(
    folder, monkeypatch
):
    await write(folder, [4])
    opened, _ = await open_folder(folder)
    for index in (2, 3):
        writer = await opened.begin_snapshot(store.SnapshotPoint(index, 1))
        with monkeypatch.context() as patches:
            if index == 3:
                patches.setattr(files, 'sync_folder', fail_to_sync)
            failure = await writer.commit()
        assert (failure is None) == (index == 2)
    await opened.close()
    synced = record_syncs(monkeypatch)
    is_synced_at_removal = []
    unlink = pathlib.Path.unlink

    def record_removal(path, missing_ok=False):
        if path.name.startswith('snapshot-'):
            is_synced_at_removal.append(str(folder) in synced)
        unlink(path, missing_ok)

    monkeypatch.setattr(pathlib.Path, 'unlink', record_removal)
    assert (await read(folder)).snapshot == store.SnapshotPoint(3, 1)
    assert is_synced_at_removal == [True]


def fail_to_sync(folder):
    raise OSError('the sync failed')


async def test_founding_is_marked_once(folder):
    settings = cluster.make_settings('one', ['one'], str(folder))
    again = identity.init_control(settings)
    assert again.reason is Reason.NOT_EMPTY
    other = folder.parent / 'other'
    other.mkdir()
    (other / 'notes').write_text('x')
    settings.control.data_folder = str(other)
    assert identity.init_control(settings).reason is Reason.NOT_EMPTY


async def test_empty_folder_becomes_a_learners(tmp_path):
    first = await read(tmp_path / 'data')
    assert not first.identity.founding
    again = await read(tmp_path / 'data')
    assert again.identity == first.identity
    other = await read(tmp_path / 'other')
    assert other.identity.incarnation != first.identity.incarnation


async def test_another_nodes_folder_is_refused(folder):
    failure = await file_storage.FileStorage(folder).open('two')
    assert failure.reason is Reason.WRONG_NODE
    assert "'one'" in failure.detail and "'two'" in failure.detail


async def test_folder_in_use_is_refused(folder):
    opened, _ = await open_folder(folder)
    failure = await file_storage.FileStorage(folder).open('one')
    assert failure.reason is Reason.IN_USE
    await opened.close()
    assert isinstance(await read(folder), store.StoredState)


@pytest.mark.parametrize('removed', range(1, 60, 7))
async def test_torn_tail_is_removed(folder, removed):
    await write(folder, [2, 1])
    (path,) = log_files(folder)
    size = path.stat().st_size
    os.truncate(path, size - removed)
    stored = await read(folder)
    complete_count = (size - removed) // (size // 3)
    assert [item.index for item in stored.entries] == [1, 2][:complete_count]
    assert stored.cut_bytes == (size - removed) % (size // 3)
    # New records are appended where the tail was removed.
    opened, stored = await open_folder(folder)
    following = len(stored.entries) + 1
    assert await opened.append([entry(following, term=2)], 0) is None
    await opened.close()
    assert (await read(folder)).entries[-1].term == 2


# Guards against starts whose log doesn't tell what was found in the folder,
# what was cut or why it was refused.
async def test_reading_a_folder_is_logged(folder, log_lines):
    await write(folder, [2, 1])
    (path,) = log_files(folder)
    size = path.stat().st_size
    os.truncate(path, size - 1)
    (folder / 'vote.json.tmp').write_bytes(b'half')
    log_lines.clear()
    await read(folder)
    (line,) = log_lines
    assert line['message_type'] == 'folder.read'
    assert line['entries'] == 2
    assert line['cut_bytes'] == size // 3 - 1
    assert f"'{path.name}': {size - 1}" in line['found']
    assert "'vote.json.tmp': 4" in line['found']
    assert line['took_ms'] >= 0
    (folder / 'vote.json').unlink()
    await read(folder)
    line = log_lines[-1]
    assert line['message_type'] == 'folder.refused'
    assert 'vote.json is missing' in line['reason']
    assert 'vote.json' not in line['found']
    assert path.name in line['found']


async def test_torn_batch_may_miss_its_beginning(folder):
    """A crash may persist only later pages of an unsynced batch."""
    await write(folder, [2, 3])
    (path,) = log_files(folder)
    data = bytearray(path.read_bytes())
    record = len(data) // 5
    data[2 * record : 3 * record] = bytes(record)
    path.write_bytes(data)
    stored = await read(folder)
    assert [item.index for item in stored.entries] == [1, 2]
    assert stored.cut_bytes == 3 * record


@pytest.mark.parametrize('record_index', [0, 1, 2])
async def test_damage_before_the_last_batch_stops_the_voter(
    folder, record_index
):
    await write(folder, [2, 1, 1])
    (path,) = log_files(folder)
    data = bytearray(path.read_bytes())
    record = len(data) // 4
    data[record_index * record + record - 3] ^= 1
    path.write_bytes(data)
    failure = await read(folder)
    assert failure.reason is Reason.BROKEN
    assert f'record {record_index + 1} is damaged' in failure.detail
    # The file is left unchanged for a repair by the operator.
    assert path.read_bytes() == bytes(data)


async def test_missing_segment_stops_the_voter(folder, monkeypatch):
    monkeypatch.setattr(segments, 'SEGMENT_BYTES', 100)
    await write(folder, [1] * 12)
    paths = log_files(folder)
    assert len(paths) > 3
    paths[1].unlink()
    failure = await read(folder)
    assert failure.reason is Reason.BROKEN
    paths[0].unlink()
    assert (await read(folder)).reason is Reason.BROKEN


@pytest.mark.parametrize('name', ['vote.json', 'voter.json'])
async def test_damaged_or_missing_vote_stops_the_voter(folder, name):
    await write(folder, [1])
    path = folder / name
    data = path.read_bytes()
    path.write_bytes(data.replace(b'one', b'two'))
    assert (await read(folder)).reason is Reason.BROKEN
    path.unlink()
    assert (await read(folder)).reason is Reason.BROKEN


@pytest.mark.parametrize('first', [1, 2, 5, 6, 9, 13])
async def test_conflicting_tail_is_removed(folder, first, monkeypatch):
    monkeypatch.setattr(segments, 'SEGMENT_BYTES', 200)
    await write(folder, [1, 2, 3, 3, 3])
    opened, _ = await open_folder(folder)
    assert await opened.truncate(first) is None
    assert await opened.append([entry(first, term=2)], 0) is None
    await opened.close()
    stored = await read(folder)
    assert [item.index for item in stored.entries] == list(range(1, first + 1))
    assert stored.entries[-1].term == 2


async def take_snapshot(opened, index, term, chunks):
    writer = await opened.begin_snapshot(store.SnapshotPoint(index, term))
    for chunk in chunks:
        assert await writer.write(chunk) is None
    return await writer.commit()


async def read_chunks(opened):
    reader = await opened.read_snapshot()
    chunks = []
    while True:
        chunk = await reader.read()
        if not chunk:
            reader.close()
            return chunks if chunk == b'' else chunk
        chunks.append(chunk)


async def test_snapshot_replaces_the_log_before_it(folder, monkeypatch):
    monkeypatch.setattr(segments, 'SEGMENT_BYTES', 200)
    await write(folder, [1] * 12)
    before = len(log_files(folder))
    opened, _ = await open_folder(folder)
    assert await take_snapshot(opened, 6, 1, [b'old']) is None
    assert await take_snapshot(opened, 9, 1, [b'a', b'b' * 9]) is None
    assert await opened.compact(9) is None
    assert await read_chunks(opened) == [b'a', b'b' * 9]
    await opened.close()
    assert len(log_files(folder)) < before
    assert len(list(folder.glob('snapshot-*'))) == 1
    stored = await read(folder)
    assert stored.snapshot == store.SnapshotPoint(9, 1)
    assert stored.entries[0].index <= 9
    assert stored.entries[-1].index == 12


async def test_unfinished_snapshot_is_discarded(folder):
    await write(folder, [3])
    opened, _ = await open_folder(folder)
    writer = await opened.begin_snapshot(store.SnapshotPoint(2, 1))
    await writer.write(b'half')
    await opened.close()
    stored = await read(folder)
    assert stored.snapshot.index == 0
    assert not list(folder.glob('*.tmp'))


@pytest.mark.parametrize(('index', 'term'), [(5, 1), (2, 9)])
async def test_superseded_log_is_removed(folder, index, term):
    """A crash may come between installing a snapshot and removing the log."""
    await write(folder, [3])
    opened, _ = await open_folder(folder)
    assert await take_snapshot(opened, index, term, [b'x']) is None
    await opened.close()
    opened, stored = await open_folder(folder)
    assert stored.entries == []
    following = entry(index + 1, term=9)
    assert await opened.append([following], 0) is None
    await opened.close()
    assert (await read(folder)).entries == [following]


async def test_damaged_snapshot_is_reported(folder):
    await write(folder, [3])
    opened, _ = await open_folder(folder)
    await take_snapshot(opened, 2, 1, [b'abc', b'def'])
    (path,) = folder.glob('snapshot-*')
    original = path.read_bytes()
    for damaged in (original[:-5], original.replace(b'abc', b'abd')):
        path.write_bytes(damaged)
        failure = await read_chunks(opened)
        assert failure.reason is Reason.BROKEN
    await opened.close()


async def test_failed_writes_are_reported(folder, monkeypatch):
    await write(folder, [1])
    opened, _ = await open_folder(folder)

    def refuse(descriptor):
        raise OSError(5, 'Input/output error')

    monkeypatch.setattr(os, 'fsync', refuse)
    monkeypatch.setattr(os, 'fdatasync', refuse)
    failed = [
        await opened.append([entry(2)], 0),
        await opened.save_vote(store.Vote(2, 'one')),
        await take_snapshot(opened, 1, 1, [b'x']),
    ]
    for failure in failed:
        assert failure.reason is Reason.WRITE_FAILED
        assert 'Input/output error' in failure.detail
    monkeypatch.undo()
    await opened.close()
    assert (await read(folder)).vote == store.Vote(1, 'one')


async def test_syncing_does_not_block_the_loop(folder, monkeypatch):
    await write(folder, [1])
    opened, _ = await open_folder(folder)
    released = asyncio.Event()
    loop = asyncio.get_running_loop()
    original_fdatasync = os.fdatasync

    def slow(descriptor):
        # Returns only if the event loop runs in the meantime.
        asyncio.run_coroutine_threadsafe(released.wait(), loop).result(20)
        original_fdatasync(descriptor)

    monkeypatch.setattr(os, 'fdatasync', slow)
    pending = asyncio.create_task(opened.append([entry(2)], 0))
    await asyncio.sleep(0)
    released.set()
    assert await pending is None
    await opened.close()


def test_init_makes_missing_folders(tmp_path):
    folder = tmp_path / 'a' / 'b'
    settings = cluster.make_settings('one', ['one'], str(folder))
    assert identity.init_control(settings) is None
    assert (pathlib.Path(folder) / 'voter.json').exists()
