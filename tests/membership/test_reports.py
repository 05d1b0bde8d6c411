"""Strikes, cache events and demand are passed on by control hosts."""

import asyncio

from filbertglade import clock
from filbertglade.membership import customer_shares
from filbertglade.membership import event_buffer
from filbertglade.membership import report_outbox
from filbertglade.membership import strikes
from tests.membership import fakes

NODES = ('node-1', 'node-2', 'node-3')


def _run(test):
    async def main():
        cluster = fakes.Cluster()
        await cluster.start(NODES)
        try:
            await test(cluster)
        finally:
            await cluster.close()

    fakes.run(main())


def _all_have_strikes(cluster, digest, endpoints):
    return all(
        set(node.fleet.strikes.find(digest)) == endpoints
        for node in cluster.nodes.values()
    )


def test_a_strike_reaches_every_node_within_four_relay_intervals():
    async def test(cluster):
        await asyncio.sleep(2)
        first, second, _ = cluster.nodes.values()
        first.attachment.report_strike(b'one', 'writer-1')
        endpoints = {'writer-1'}
        await fakes.wait_until(
            lambda: _all_have_strikes(cluster, b'one', endpoints), 1
        )
        second.attachment.report_strike(b'one', 'writer-2')
        endpoints.add('writer-2')
        await fakes.wait_until(
            lambda: _all_have_strikes(cluster, b'one', endpoints), 1
        )

    _run(test)


def test_a_node_started_later_receives_strikes_with_their_age():
    async def test(cluster):
        await asyncio.sleep(2)
        received = []
        cluster.nodes['node-2'].fleet.strikes.add_listener(received.append)
        struck_ms = clock.now_ms()
        cluster.nodes['node-1'].attachment.report_strike(b'one', 'writer-1')
        await asyncio.sleep(10)
        late = await cluster.start_node('node-4')
        await fakes.wait_until(lambda: late.fleet.strikes.find(b'one'), 3)
        found_ms = late.fleet.strikes.find(b'one')['writer-1']
        assert struck_ms - 1000 <= found_ms <= struck_ms
        assert [seen.endpoint for seen in received] == ['writer-1']
        await asyncio.sleep(strikes.KEPT_MS / 1000)
        assert late.fleet.strikes.find(b'one') == {}

    _run(test)


def test_strikes_are_bounded():
    async def main():
        table = strikes.StrikeTable()
        for number in range(3000):
            strike = report_outbox.membership_pb2.Strike(
                digest=b'%d' % (number % 1500), group=f'writer-{number}'
            )
            table.note(strike, 0)
        assert table.find(b'0') == {}
        assert set(table.find(b'1499')) == {'writer-2999'}
        assert len(table._struck) == strikes.KEPT_DIGESTS

    fakes.run(main())


def test_cache_events_reach_listeners():
    async def test(cluster):
        taken = {name: [] for name in NODES}
        for name, node in cluster.nodes.items():
            node.fleet.add_cache_listener(taken[name].append)
        await asyncio.sleep(2)
        cluster.nodes['node-2'].attachment.report_cache_event(
            'writer-1', 7, 1, stored=(11, 12), evicted=(13,)
        )
        await fakes.wait_until(lambda: all(taken.values()), 3)
        for received in taken.values():
            (event,) = received
            assert (event.group, event.epoch) == ('writer-1', 7)
            assert list(event.stored) == [11, 12]

    _run(test)


def test_shares_follow_demand_with_a_minimum_for_nodes_without():
    async def test(cluster):
        first, second, third = cluster.nodes.values()
        first.attachment.report_demand('telecom', 30.0, 0.0)
        second.attachment.report_demand('telecom', 10.0, 0.0)
        await fakes.wait_until(lambda: 'telecom' in third.fleet.shares, 3)
        await asyncio.sleep(2)
        found = [node.fleet.shares['telecom'] for node in (first, second)]
        even = customer_shares.EVEN_FRACTION / 3
        assert (
            abs(found[0] - even - (1 - customer_shares.EVEN_FRACTION) * 0.75)
            < 0.05
        )
        assert (
            abs(found[1] - even - (1 - customer_shares.EVEN_FRACTION) * 0.25)
            < 0.05
        )
        assert abs(third.fleet.shares['telecom'] - even) < 0.01

    _run(test)


def test_shares_of_all_nodes_add_up_to_one():
    table = customer_shares.ShareTable()
    report = report_outbox.membership_pb2.NodeReport
    demand = report_outbox.membership_pb2.CustomerDemand
    table.refresh(
        report(
            node=f'node-{i}',
            demand=[demand(customer='telecom', requests_per_s=float(i))],
        )
        for i in range(9)
    )
    total = sum(table.divide(f'node-{i}')['telecom'] for i in range(9))
    assert abs(total - 1) < 1e-9


def test_events_are_bounded_and_read_once():
    async def main():
        buffer = event_buffer.EventBuffer(limit=10, kept_ms=5000)
        for number in range(25):
            buffer.add(number)
        read = buffer.read_after(0, 100)
        assert [kept.message for kept in read] == list(range(15, 25))
        assert buffer.read_after(read[-1].position, 100) == []
        newest = buffer.read_after(0, 3)
        assert [kept.message for kept in newest] == [22, 23, 24]
        await asyncio.sleep(6)
        assert buffer.read_after(0, 100) == []

    fakes.run(main())


def test_pending_reports_are_bounded():
    async def main():
        outbox = report_outbox.ReportOutbox('node-1')
        for number in range(5000):
            outbox.add_loss(f'host-{number}', 'run-1')
            outbox.set_demand(f'customer-{number}', 1.0, 0.0)
        frame = report_outbox.membership_pb2.NodeFrame()
        outbox.write(frame)
        assert len(frame.losses) == report_outbox.EVENTS_PER_FRAME
        assert frame.losses[0].host == 'host-4000'
        assert len(frame.report.demand) == report_outbox.REPORTED_CUSTOMERS

    fakes.run(main())
