"""The replicated log: what its records state about those before them."""

from filbertglade.control import file_storage
from filbertglade.control import identity
from filbertglade.control import journal
from filbertglade.control import store
from filbertglade.inner import agreement_pb2
from filbertglade import tasks
from tests.control import cluster

CHANGE_INDEX = 3
LAST_INDEX = 5


async def open_journal(folder):
    storage = file_storage.FileStorage(folder)
    stored = await storage.open('one')
    return storage, journal.Journal(storage, stored, tasks.TaskGroup())


# Guards against a voter that gets a committed exchange together with the
# entries after it, and doesn't know after a restart that it is committed.
async def test_entries_after_a_committed_voter_change_state_it(tmp_path):
    folder = tmp_path / 'data'
    settings = cluster.make_settings('one', ['one'], str(folder))
    assert identity.init_control(settings) is None
    storage, log = await open_journal(folder)
    assert await storage.save_vote(store.Vote(1, 'one')) is None
    log.append(
        [
            agreement_pb2.LogEntry(
                index=index, term=1, changes_voters=index == CHANGE_INDEX
            )
            for index in range(1, LAST_INDEX + 1)
        ]
    )
    assert await log.flush(LAST_INDEX) is None
    assert log.synced_index == LAST_INDEX
    await storage.close()
    storage = file_storage.FileStorage(folder)
    stored = await storage.open('one')
    await storage.close()
    assert [entry.index for entry in stored.entries] == list(
        range(1, LAST_INDEX + 1)
    )
    assert stored.committed_index >= CHANGE_INDEX
