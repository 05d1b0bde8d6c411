"""The agreed state over kills, freezes, cut links and lost disks.

Six node processes, three of them control hosts, take changes at 5 a second.
Whatever happens to them, each change that was answered as accepted is in
force on all six in the end, exactly once and in order.
"""

import concurrent.futures
import contextlib
import shutil
import signal
import time

import pytest

from filbertglade.observability import timeline
from tests import cluster as clusters
from tests import forwarding
from tests import operators

INTERVAL_S = 0.2
FREEZE_S = 10.0
CUT_S = 3.0
# Few, so that restarts and lost folders go by way of snapshots too.
CONTROL_EXTRA = 'snapshot_entries = 20'


@pytest.fixture(scope='module')
def running(tmp_path_factory):
    cluster = clusters.Cluster(
        tmp_path_factory.mktemp('agreed'), forwarding.Links()
    )
    cluster.configure_nodes(3, 3, control_extra=CONTROL_EXTRA)
    cluster.start_nodes()
    try:
        clusters.wait_until(cluster.find_leader, 'a leader')
        yield cluster
    finally:
        cluster.close()


@pytest.fixture
def changing(running):
    """Send changes while the test runs, then check what became of them."""
    before = _read_history(running.nodes[0])
    operator = operators.Operator(running.nodes, INTERVAL_S)
    operator.start(len(before) + 1)
    operator.wait_for(2)
    yield operator
    operator.wait_for(3)
    operator.stop()
    expected = before + [
        (item.number, item.change_id) for item in operator.accepted
    ]
    _check_in_force(running, expected)


def _read_history(node):
    found = clusters.wait_until(
        lambda: node.get('/v1/config/history'), 'a history'
    )
    return [(item['number'], item['change_id']) for item in found['changes']]


def _check_in_force(cluster, expected):
    last = expected[-1][0]
    assert [number for number, _ in expected] == list(range(1, last + 1))
    for node in cluster.nodes:
        clusters.wait_until(
            lambda node=node: (
                (node.get('/v1/config') or {}).get('number') == last
            ),
            f'{last} in force on {node.name}',
        )
        assert node.get('/v1/config')['change_id'] == expected[-1][1]
        assert _read_history(node) == expected
        _check_never_reverted(node)


def _check_never_reverted(node):
    numbers = [
        event.fields['number']
        for event in timeline.read_log(node.log_path)
        if event.name == 'configuration.in_force'
    ]
    assert numbers == sorted(numbers)


def _find_leader(cluster):
    return clusters.wait_until(cluster.find_leader, 'a leader')


def _find_follower(cluster, leader):
    return next(
        node
        for node in cluster.nodes
        if node.is_control and node is not leader
    )


@contextlib.contextmanager
def _frozen(node):
    node.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        node.send_signal(signal.SIGCONT)


def test_kill_of_leader_and_follower_and_both(running, changing):
    leader = _find_leader(running)
    leader.kill()
    changing.wait_for(3)
    leader.start()
    follower = _find_follower(running, _find_leader(running))
    follower.kill()
    changing.wait_for(3)
    leader = _find_leader(running)
    leader.kill()
    # Two of three are gone: nobody can accept anything.
    count = len(changing.accepted)
    time.sleep(CUT_S)
    assert len(changing.accepted) <= count + 1
    follower.start()
    leader.start()


def test_stopped_leader_hands_over(running, changing):
    leader = _find_leader(running)
    assert leader.stop() == 0
    handed_over = [
        event.fields
        for event in timeline.read_log(leader.log_path)
        if event.name == 'leader.handed_over'
    ]
    assert [event['won'] for event in handed_over] == [True]
    changing.wait_for(3)
    leader.start()


def test_frozen_leader(running, changing):
    leader = _find_leader(running)
    with _frozen(leader):
        end_s = time.monotonic() + FREEZE_S
        changing.wait_for(3)
        assert _find_leader(running) is not leader
        time.sleep(max(0.0, end_s - time.monotonic()))
    changing.wait_for(3)


@pytest.mark.parametrize(
    'state', [forwarding.LinkState.CUT, forwarding.LinkState.SILENT]
)
def test_leader_cut_off(running, changing, state):
    leader = _find_leader(running)
    running.links.isolate(leader.name, state)
    try:
        changing.wait_for(3)
        others = [node for node in running.nodes if node is not leader]
        status = clusters.wait_until(
            lambda: others[-1].get('/v1/status'), 'a status'
        )
        assert status['leader'] != leader.name
    finally:
        running.links.open_all()


def test_node_cut_off_goes_on_with_its_last_document(running, changing):
    node = running.nodes[5]
    running.links.isolate(node.name, forwarding.LinkState.CUT)
    try:
        before = node.get('/v1/config')['number']
        changing.wait_for(5)
        assert before <= node.get('/v1/config')['number'] <= before + 1
    finally:
        running.links.open_all()


def test_wiped_data_folder(running, changing):
    leader = _find_leader(running)
    wiped = _find_follower(running, leader)
    before = _find_incarnation(running, wiped.name)
    wiped.kill()
    shutil.rmtree(wiped.data_folder)
    wiped.start()
    clusters.wait_until(
        lambda: _find_incarnation(running, wiped.name) not in ('', before),
        f'{wiped.name} taken in again',
    )
    # It counts again: without it there is no majority now.
    _find_follower(running, wiped).kill()
    changing.wait_for(3)
    for node in running.nodes:
        if node.process.poll() is not None:
            node.start()


def _find_incarnation(cluster, name):
    for node in cluster.nodes[3:]:
        status = node.get('/v1/status')
        if status is not None:
            return next(
                voter['incarnation']
                for voter in status['voters']
                if voter['name'] == name
            )
    return ''


def test_operators_race_with_equal_numbers(running):
    before = _read_history(running.nodes[0])
    rounds = 5
    with concurrent.futures.ThreadPoolExecutor(len(running.nodes)) as pool:
        for number in range(len(before) + 1, len(before) + 1 + rounds):
            changes = [
                operators.build_change(number, f'race-{number}-{node.name}')
                for node in running.nodes
            ]
            answers = list(pool.map(operators.put, running.nodes, changes))
            winners = [
                answer.json()['change_id']
                for answer in answers
                if answer.status_code == 200
            ]
            losers = [
                answer.json()
                for answer in answers
                if answer.status_code == 409
            ]
            assert len(winners) == 1
            assert len(losers) == len(running.nodes) - 1
            assert {loser['change_id'] for loser in losers} == set(winners)
            before.append((number, winners[0]))
    _check_in_force(running, before)


def test_resend_after_every_process_restarted(running):
    history = _read_history(running.nodes[0])
    for node in running.nodes:
        node.kill()
    for node in running.nodes:
        node.start()
    number, change_id = history[0]
    change = operators.build_change(number, change_id)
    answer = clusters.wait_until(
        lambda: _put_known(running.nodes[4], change), 'an answer'
    )
    assert answer.status_code == 200
    assert answer.json()['number'] == number
    _check_in_force(running, history)
    assert any(
        event.name == 'snapshot.taken'
        for node in running.nodes
        if node.is_control
        for event in timeline.read_log(node.log_path)
    )


def test_no_process_met_an_error_that_nobody_expected(running):
    """The last test of this module: it reads what the others left."""
    for node in running.nodes:
        errors = [
            (event.name, event.fields)
            for event in timeline.read_log(node.log_path)
            if event.level == 'error'
        ]
        assert errors == []
        assert 'Traceback' not in (node.folder / 'stderr.txt').read_text()


def _put_known(node, change):
    answer = operators.put(node, change)
    if answer is None or answer.status_code in operators.TRY_AGAIN:
        return None
    return answer
