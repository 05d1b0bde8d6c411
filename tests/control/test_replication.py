"""What a leader counts and logs about its requests to the other voters."""

from tests.control import cluster

DOCUMENT_BYTES = 50_000


def select(log_lines, event):
    return [line for line in log_lines if line['message_type'] == event]


def count_bytes(node, content):
    return node.counters.counter('inner_bytes_sent', content=content)


def test_bytes_are_counted_by_kind_of_request():
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()
            appended_bytes = count_bytes(leader, 'append')
            await cluster.submit(leader, cluster.put(1, size=DOCUMENT_BYTES))
            await group.catch_up()
            added_bytes = count_bytes(leader, 'append') - appended_bytes
            assert 2 * DOCUMENT_BYTES < added_bytes < 2.2 * DOCUMENT_BYTES
            appended_bytes = count_bytes(leader, 'append')
            heartbeat_bytes = count_bytes(leader, 'heartbeat')
            await group.pass_time(1)
            assert count_bytes(leader, 'append') == appended_bytes
            assert count_bytes(leader, 'heartbeat') > heartbeat_bytes
            assert count_bytes(leader, 'snapshot') == 0

    cluster.run(scenario())


def test_bytes_of_snapshots_are_counted():
    async def scenario():
        async with cluster.Cluster(3, snapshot_entries=40) as group:
            leader = await group.leader()
            absent = (await group.followers())[0]
            await absent.stop()
            for number in range(1, 101):
                await cluster.submit(leader, cluster.put(number))
            assert leader.agreement.status().snapshot_index > 0
            await absent.start()
            await group.catch_up()
            assert count_bytes(leader, 'snapshot') > 0

    cluster.run(scenario())


def test_a_lost_quorum_is_logged_with_each_voter(log_lines):
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()
            lease_ms = leader.settings.control.lease_ms
            group.network.isolate(leader.name, group.names)
            await group.wait_until(
                lambda: select(log_lines, 'leader.quorum_lost')
            )
            (line,) = select(log_lines, 'leader.quorum_lost')
            others = {name for name in group.names if name != leader.name}
            assert set(line['voters']) == others
            for fields in line['voters'].values():
                assert fields['acknowledged_age_ms'] >= lease_ms
                assert fields['in_flight'] > 0
                assert (
                    0
                    < fields['oldest_in_flight_ms']
                    <= (fields['acknowledged_age_ms'])
                )

    cluster.run(scenario())


def test_a_broken_stream_is_logged_once_a_break(log_lines):
    async def scenario():
        async with cluster.Cluster(3) as group:
            leader = await group.leader()
            await group.catch_up()
            absent = (await group.followers())[0]
            log_lines.clear()
            for _ in range(2):
                await absent.stop()
                await group.pass_time(5)
                await absent.start()
                await group.catch_up()
                await group.pass_time(1)
            lines = [
                line
                for line in select(log_lines, 'replication.broken')
                if line['peer'] == absent.name
            ]
            assert len(lines) == 2
            for line in lines:
                assert line['error']
                assert line['acknowledged_age_ms'] >= 0
            breaks = leader.counters.counter(
                'agreement_stream_breaks', peer=absent.name
            )
            assert breaks > len(lines)

    cluster.run(scenario())
