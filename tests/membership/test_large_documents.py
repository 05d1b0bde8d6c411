"""Large documents reach the nodes over links of a bounded rate."""

import asyncio

import pytest

from filbertglade.control import state
from filbertglade.inner import membership_pb2
from filbertglade.membership import document_parts
from tests.membership import fakes

MEGABYTE = 1_000_000
# 2 Mbit/s.
SLOW_BYTES_PER_S = 250_000
# Bytes on a link for each byte of a document: frames' other contents and
# headers come with it.
OVERHEAD = 1.1


def _put(number, size=MEGABYTE):
    """Return a command with a document of a size in bytes."""
    command = fakes.put_configuration(number)
    put = command.put_configuration
    put.document = put.document.ljust(size)
    return command


def _run(test, nodes=('node-1',)):
    async def main():
        cluster = fakes.Cluster(control=('one',))
        await cluster.start(nodes)
        try:
            await fakes.wait_until(
                lambda: all(
                    node.fleet.is_confirmed for node in cluster.nodes.values()
                ),
                5,
            )
            await test(cluster)
        finally:
            await cluster.close()

    fakes.run(main())


class Watch:
    """Watches attachments and the ages by which the nodes route.

    :ivar lost: the nodes that were seen without an attachment.
    :ivar age_ms: the greatest proven age of a group on a node.
    """

    def __init__(self, cluster):
        self.lost = set()
        self.age_ms = 0
        self._nodes = list(cluster.nodes.values())
        self._task = asyncio.create_task(self._run())

    async def _run(self):
        loop = asyncio.get_running_loop()
        while True:
            for node in self._nodes:
                if not node.attachment.control_host:
                    self.lost.add(node.settings.name)
                for seen in node.fleet._groups.values():
                    age_ms = int(loop.time() * 1000) - seen.proven_ms
                    self.age_ms = max(self.age_ms, age_ms)
            await asyncio.sleep(0.02)

    def stop(self):
        self._task.cancel()


def _all_have(cluster, number):
    return all(node.fleet.number == number for node in cluster.nodes.values())


# Guards against a copy of the document in each frame: the copies delayed the
# frames until the attachment timed out and the node asked for it again.
def test_a_slow_link_carries_a_document_once():
    async def test(cluster):
        node = cluster.nodes['node-1']
        cluster.network.limit_rate('node-1', SLOW_BYTES_PER_S)
        link = cluster.network.receiver('node-1')
        await asyncio.sleep(2)
        regular_bytes_per_s = link.passed_bytes / 2
        watch = Watch(cluster)
        link.passed_bytes = 0
        cluster.apply(_put(1))
        spent_s = await fakes.wait_until(lambda: node.fleet.number == 1, 15)
        await asyncio.sleep(15)
        watch.stop()
        regular_bytes = regular_bytes_per_s * (spent_s + 15)
        assert link.passed_bytes < OVERHEAD * MEGABYTE + regular_bytes
        assert not watch.lost

    _run(test)


# Guards against documents that hold up the ages by which a node routes.
def test_groups_stay_routable_while_a_slow_link_carries_a_document():
    async def test(cluster):
        node = cluster.nodes['node-1']
        cluster.add_group(['node-1'])
        await fakes.wait_until(node.routes_to, 5)
        cluster.network.limit_rate('node-1', SLOW_BYTES_PER_S)
        await asyncio.sleep(2)
        watch = Watch(cluster)
        cluster.apply(_put(1))
        await fakes.wait_until(lambda: node.fleet.number == 1, 15)
        watch.stop()
        assert not watch.lost
        # Half of the presence limit.
        assert watch.age_ms < 2000

    _run(test)


# Guards against a control host's link that is full of copies of a document.
def test_many_nodes_receive_a_document_from_one_control_host():
    async def test(cluster):
        cluster.network.limit_rate('one', 4 * MEGABYTE)
        link = cluster.network.sender('one')
        watch = Watch(cluster)
        cluster.apply(_put(1))
        await fakes.wait_until(lambda: _all_have(cluster, 1), 15)
        watch.stop()
        assert not watch.lost
        # Regular frames of 20 nodes take less than a tenth of that.
        assert link.passed_bytes < 20 * OVERHEAD * MEGABYTE * 1.1

    _run(test, tuple(f'node-{place}' for place in range(20)))


# Guards against a revocation that waits until an older document has passed.
def test_a_newer_document_replaces_one_that_is_being_sent():
    async def test(cluster):
        node = cluster.nodes['node-1']
        cluster.network.limit_rate('node-1', SLOW_BYTES_PER_S)
        link = cluster.network.receiver('node-1')
        cluster.apply(_put(1))
        await asyncio.sleep(1)
        cluster.apply(_put(2, 100_000))
        numbers = set()

        def note_number():
            numbers.add(node.fleet.number)
            return node.fleet.number == 2

        await fakes.wait_until(note_number, 3)
        assert numbers == {0, 2}
        assert link.passed_bytes < MEGABYTE

    _run(test)


# Guards against a document that is lost with its stream.
def test_a_document_is_sent_again_on_the_next_stream():
    async def test(cluster):
        node = cluster.nodes['node-1']
        cluster.network.limit_rate('node-1', SLOW_BYTES_PER_S)
        cluster.apply(_put(1))
        await asyncio.sleep(1)
        cluster.network.reset('node-1')
        await fakes.wait_until(lambda: not node.attachment.control_host, 1)
        await fakes.wait_until(lambda: node.fleet.number == 1, 15)

    _run(test)


# Guards against documents that are dropped or put in force early because they
# are sent only once: the proof may come in a later frame.
def test_a_document_takes_force_when_a_later_frame_proves_it():
    async def main():
        cluster = fakes.Cluster(control=('one',))
        await cluster.start(())
        voters = cluster.control['one'].voters
        voters.is_leader = False
        cluster.apply(_put(1, 100_000))
        node = await cluster.start_node('node-1')
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert node.fleet.number == 0
        # The same stream continues.
        voters.is_leader = True
        await fakes.wait_until(lambda: node.fleet.number == 1, 1)
        assert node.fleet.is_confirmed
        await cluster.close()

    fakes.run(main())


# Guards against a held document that comes into force by the proof of another
# one: a newer document may have been in force on this node before.
def test_the_proof_of_a_newer_document_puts_no_older_one_in_force():
    async def main():
        cluster = fakes.Cluster(control=('one',))
        await cluster.start(())
        host = cluster.control['one']
        host.voters.is_leader = False
        cluster.apply(_put(1, 100_000))
        node = await cluster.start_node('node-1')
        await asyncio.sleep(5)
        cluster.network.limit_rate('node-1', SLOW_BYTES_PER_S)
        cluster.apply(_put(2))
        host.voters.is_leader = True
        numbers = set()

        def note_number():
            numbers.add(node.fleet.number)
            return node.fleet.number == 2

        await fakes.wait_until(note_number, 15)
        assert numbers == {0, 2}
        await cluster.close()

    fakes.run(main())


# Guards against the same where no part of the newer document has arrived.
def test_a_frame_proves_only_the_document_that_it_names():
    async def main():
        cluster = fakes.Cluster(control=('one',))
        node = fakes.Node(cluster, 'node-1')
        text = fakes.put_configuration(1).put_configuration.document
        held = membership_pb2.ControlFrame(
            configuration=membership_pb2.ConfigurationUpdate(
                number=1, document=text, total_bytes=len(text)
            ),
            configuration_number=1,
        )
        node.attachment._handle_configuration(held, 0)
        for number in (2, 1):
            assert node.fleet.number == 0
            proof = membership_pb2.ControlFrame(
                configuration_number=number, leader_known=True
            )
            node.attachment._handle_configuration(proof, 0)
        assert node.fleet.number == 1
        assert node.fleet.is_confirmed

    fakes.run(main())


# Guards against a document with a gap: the stream ends, and the next one
# sends the document from its start.
def test_a_part_that_follows_no_other_ends_the_stream():
    parts = document_parts.PartAssembler()
    first = membership_pb2.ConfigurationUpdate(
        number=1, document=b'12', total_bytes=6
    )
    for number, offset in ((1, 4), (2, 2)):
        parts.add(first)
        later = membership_pb2.ConfigurationUpdate(
            number=number, offset=offset, document=b'56', total_bytes=6
        )
        with pytest.raises(ConnectionError):
            parts.add(later)


# Guards against a node of an older build, which counts no parts, that gets no
# further document after the first few.
def test_a_node_that_counts_no_parts_gets_small_documents():
    agreed = state.AgreedState()
    writer = document_parts.PartWriter(document_parts.DocumentCache(agreed))
    report = membership_pb2.NodeReport()
    for number in range(1, 10):
        agreed.apply(number, fakes.put_configuration(number))
        writer.note_frame(membership_pb2.NodeFrame(report=report))
        frame = membership_pb2.ControlFrame()
        writer.write(frame)
        assert frame.configuration.number == number
        current = agreed.configuration.current
        assert frame.configuration.document == current.document
        report.configuration_number = number


# Guards against whole documents, as control hosts of an older build send them
# in each frame, that are taken for parts.
def test_a_document_without_a_size_is_complete():
    parts = document_parts.PartAssembler()
    whole = membership_pb2.ConfigurationUpdate(number=1, document=b'12')
    for _ in range(2):
        parts.add(whole)
        assert parts.take() == whole
    assert parts.take() is None
