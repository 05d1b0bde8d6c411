"""Log lines for hosts and groups that are lost and that return."""

import pytest

from filbertglade.control import state
from filbertglade.inner import commands_pb2
from filbertglade.membership import presence_logger

LIMIT_MS = 4000


class FakeHost:
    def __init__(self):
        self.epoch = 0

    def serves(self, group, epoch):
        return epoch == self.epoch


class FakePresence:
    def __init__(self):
        self.hosts = {}
        self.absent = set()

    def is_present(self, name, limit_ms):
        assert limit_ms == LIMIT_MS
        return name in self.hosts and name not in self.absent


@pytest.fixture
def events(monkeypatch):
    found = []

    def change(event, **fields):
        subject = fields.get('host') or fields['group']
        found.append((event, subject, fields.get('missing')))

    monkeypatch.setattr(presence_logger.log, 'change', change)
    return found


def test_hosts_are_logged_once_when_absent_and_once_when_back(events):
    seen = FakePresence()
    logger = presence_logger.PresenceLogger(
        state.AgreedState(), seen, LIMIT_MS
    )
    seen.hosts = {'a': FakeHost(), 'b': FakeHost()}
    for absent in (set(), {'a'}, {'a'}, set(), set()):
        seen.absent = absent
        logger.log_host_changes()
    assert events == [('host.absent', 'a', None), ('host.returned', 'a', None)]
    # A host that was forgotten and appears again has not returned.
    events.clear()
    seen.absent = {'b'}
    logger.log_host_changes()
    del seen.hosts['b']
    logger.log_host_changes()
    seen.hosts['b'] = FakeHost()
    seen.absent = set()
    logger.log_host_changes()
    assert events == [('host.absent', 'b', None)]


def test_a_group_is_logged_once_when_lost_and_once_when_complete(events):
    agreed = state.AgreedState()
    seen = FakePresence()
    seen.hosts = {'a': FakeHost(), 'b': FakeHost()}
    record = commands_pb2.GroupRecord(group='g', epoch=7, hosts=['a', 'b'])
    agreed.groups.groups['g'] = record
    logger = presence_logger.PresenceLogger(agreed, seen, LIMIT_MS)
    logger.log_group_changes()
    assert events == []
    record.phase = commands_pb2.SERVING
    for host in seen.hosts.values():
        host.epoch = 7
    logger.log_group_changes()
    seen.hosts['b'].epoch = 0
    logger.log_group_changes()
    logger.log_group_changes()
    seen.hosts['b'].epoch = 7
    logger.log_group_changes()
    assert events == [('group.lost', 'g', ['b']), ('group.whole', 'g', None)]
    # A group that is drained while it lacks a host is not logged as complete.
    events.clear()
    seen.hosts['b'].epoch = 0
    logger.log_group_changes()
    record.phase = commands_pb2.DRAINING
    logger.log_group_changes()
    assert events == [('group.lost', 'g', ['b'])]
