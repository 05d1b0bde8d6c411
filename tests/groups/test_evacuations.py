"""Groups of the product's own nodes while a data centre is evacuated."""

import asyncio

from filbertglade.groups import unserved
from filbertglade.inner import commands_pb2
from filbertglade.membership import routing_lines
from filbertglade.replicas import unserved_models
from tests.groups import fakes
from tests.membership import fakes as membership_fakes

DOMAINS = {'fabric-1': 'checked', 'fabric-2': 'checked'}
DEPLOYMENT = {'name': 'writer', 'replicas': 2, 'spare_hosts': 1}
wait_until = membership_fakes.wait_until


def run(test, hosts):
    async def main():
        cluster = fakes.SimulatedCluster(DOMAINS, hosts)
        await cluster.start()
        try:
            await test(cluster)
            cluster.check()
        finally:
            await cluster.close()

    membership_fakes.run(main())


def evacuate(cluster, domain, active=True):
    change = commands_pb2.EvacuationChange(
        data_centre=f'centre-of-{domain}', active=active
    )
    cluster.commit(commands_pb2.Command(evacuation_change=change))


def list_records(cluster, domain):
    return {
        record.group: (record.epoch, tuple(record.hosts))
        for record in cluster.list_complete()
        if record.fabric_domain == domain
    }


def list_new_loads(cluster, domain, since):
    return [
        order
        for host in cluster.hosts.values()
        if host.domain == domain
        for order in host.taken_orders[since.get(host.name, 0) :]
        if order.kind in ('load', 'preload')
    ]


# Guards against groups that are released or loaded anew for an evacuation, and
# against a deployment without the replicas that other data centres could run.
def test_evacuated_groups_stay_formed_and_others_are_formed_elsewhere():
    async def test(cluster):
        cluster.put(DEPLOYMENT)
        await wait_until(lambda: len(cluster.list_complete()) == 2, 60)
        await asyncio.sleep(20)
        before = list_records(cluster, 'fabric-1')
        assert len(before) == 1
        since = {
            host.name: len(host.taken_orders)
            for host in cluster.hosts.values()
        }
        evacuate(cluster, 'fabric-1')
        await wait_until(
            lambda: len(list_records(cluster, 'fabric-2')) == 2, 60
        )
        await asyncio.sleep(30)
        assert list_records(cluster, 'fabric-1') == before
        assert not list_new_loads(cluster, 'fabric-1', since)
        evacuate(cluster, 'fabric-1', active=False)
        assert list_records(cluster, 'fabric-1') == before

    run(test, hosts=10)


def test_evacuated_group_is_repaired_by_a_spare_that_holds_the_model():
    async def test(cluster):
        cluster.put(DEPLOYMENT)
        await wait_until(lambda: len(cluster.list_complete()) == 2, 60)
        await asyncio.sleep(30)
        ((name, (epoch, members)),) = list_records(cluster, 'fabric-1').items()
        evacuate(cluster, 'fabric-1')
        cluster.hosts[members[1]].die()
        await wait_until(
            lambda: (
                list_records(cluster, 'fabric-1').get(name, (0,))[0] > epoch
            ),
            90,
        )

    run(test, hosts=5)


# Guards against requests of nodes to an evacuated data centre.
def test_nodes_are_told_that_evacuated_groups_take_nothing():
    async def test(cluster):
        cluster.put(DEPLOYMENT)
        await wait_until(lambda: len(cluster.list_complete()) == 2, 60)
        await asyncio.sleep(3)
        (record,) = [
            item
            for item in cluster.list_complete()
            if item.fabric_domain == 'fabric-1'
        ]
        for names, expected in (
            ((), True),
            (('centre-of-fabric-2',), True),
            (('centre-of-fabric-1',), False),
        ):
            built = routing_lines.build_group_line(
                record, cluster.node_view, names
            )
            assert built.line.complete is expected
            host = cluster.node_view.hosts[record.hosts[0]]
            worker = routing_lines.build_worker_line(host, names)
            assert worker.line.leaving is not expected

    run(test, hosts=5)


# Guards against operators who aren't told that an evacuation has left a
# deployment without a group, or that it is served again.
def test_deployments_without_group_are_told(monkeypatch):
    told = []

    def record(event, **fields):
        if event == 'evacuations.deployments_without_group':
            told.append((fields['deployments'], fields['served_again']))

    monkeypatch.setattr(unserved_models.log, 'change', record)

    async def test(cluster):
        cluster.put({**DEPLOYMENT, 'replicas': 1})
        await wait_until(lambda: len(cluster.list_complete()) == 1, 60)
        (record,) = cluster.list_complete()
        place = f'centre-of-{record.fabric_domain}'
        counters = cluster.counters[cluster.leader]
        series = 'filbertglade_evacuated_deployments_unserved'
        assert series not in counters.render_text()
        # The other domain can't form the group either.
        for domain in DOMAINS:
            evacuate(cluster, domain)
        await wait_until(lambda: series in counters.render_text(), 1)
        assert f'{series}{{deployment="writer"}} 1\n' in counters.render_text()
        agreed = cluster.states[cluster.leader]
        hosts = cluster.presence_tables[cluster.leader]
        assert unserved.find_unserved(agreed, hosts) == {'writer': [place]}
        for domain in DOMAINS:
            evacuate(cluster, domain, active=False)
        await wait_until(lambda: series not in counters.render_text(), 1)
        assert not unserved.find_unserved(agreed, hosts)
        assert told == [(['writer'], []), ([], ['writer'])]

    run(test, hosts=5)


# Guards against loads, which take minutes, for groups that get no requests;
# and against groups that stay without their model after the end.
def test_groups_that_form_while_evacuated_are_ordered_no_further_loads():
    async def test(cluster):
        # One load at a time: most hosts have no order yet.
        cluster.put({**DEPLOYMENT, 'spare_hosts': 0}, loads_at_once=1)
        await wait_until(cluster.count_loading, 30)
        assert len(cluster.groups) == 2
        for domain in DOMAINS:
            evacuate(cluster, domain)
        # Until the order that is on its way has arrived.
        await asyncio.sleep(1)
        since = {
            host.name: len(host.taken_orders)
            for host in cluster.hosts.values()
        }
        await asyncio.sleep(60)
        for domain in DOMAINS:
            assert not list_new_loads(cluster, domain, since)
        assert len(cluster.groups) == 2
        for domain in DOMAINS:
            evacuate(cluster, domain, active=False)
        await wait_until(lambda: len(cluster.list_complete()) == 2, 200)

    run(test, hosts=4)
