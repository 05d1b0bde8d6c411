"""A node's changes are relayed at once, unchanged reports once a second."""

import asyncio

from filbertglade.inner import membership_pb2
from filbertglade.membership import relay_batch
from filbertglade.membership import relay_peers
from filbertglade.membership import reported_state
from tests import fakes
from tests import virtual_time


def _report(reported, sequence, number):
    report = membership_pb2.NodeReport(
        node='n', run='r', sequence=sequence, configuration_number=number
    )
    reported.take_node_frame(membership_pb2.NodeFrame(report=report), 0)


def test_unchanged_reports_are_rate_limited_and_changes_are_not():
    async def scenario():
        reported = reported_state.ReportedState('here')
        peers = relay_peers.RelayPeers(fakes.build_settings())
        batch = relay_batch.RelayBatch('here', 'there', reported, peers)
        sent = []
        for step in range(12):
            _report(reported, step + 1, 2 if step >= 6 else 1)
            frame = membership_pb2.RelayFrame()
            batch.write(frame)
            sent += [
                (step, item.configuration_number) for item in frame.reports
            ]
            await asyncio.sleep(0.25)
        assert sent == [(0, 1), (4, 1), (6, 2), (10, 2)]

    virtual_time.run(scenario())
