"""Costs of requests from their estimate to their end, offline."""

import asyncio
import random
import types

from filbertglade.budgets import process
from filbertglade.costs import backlog
from filbertglade.costs import policy
from filbertglade.costs import tracking
from filbertglade.costs import two_choices
from filbertglade.costs import work
from filbertglade.fleet import dialects
from filbertglade.fleet import document
from filbertglade.fleet import statements
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.forwarding import admission
from filbertglade.forwarding import targets
from filbertglade.gateway import entry_role
from filbertglade.observability import metrics
from filbertglade.settings import gateway
from tests import virtual_time

ENGINE = document.Engine(
    slots=4, stride=4, usual={'prompt': 100.0, 'answer': 50.0}
)
TARGET = targets.Target(
    'i-1', 'i-1', '', 'north', 4, 'group-1', 1, model='big'
)


def build_demand(costs):
    request = types.SimpleNamespace(
        headers={'Filbertglade-Prompt-Parts': 'manual:90,own:10'},
        method='POST',
        path='/chat',
        body=b'',
    )
    record = types.SimpleNamespace(route_name='chat', customer_name='acme')
    demand = admission.Demand('models', 'big', engine=ENGINE)
    return tracking.add_cost(demand, costs, dialects.DEFAULT, request, record)


# Guards against answers from which nothing is learned, and against work of
# requests that have ended.
def test_served_requests_change_the_estimate_and_failed_ones_do_not():
    async def check():
        counters = metrics.Metrics()
        known = backlog.ReportedBacklog(view.FleetView())
        costs = tracking.RequestCosts(known, counters)
        demand = build_demand(costs)
        assert demand.features == work.Features(
            'models', 'big', 'chat', 'acme', ('manual',)
        )
        assert demand.answer_tokens == round(demand.cost.answer_tokens)
        for is_complete in (False, True):
            before = costs.estimator.estimate(demand.features, ENGINE)
            for _ in range(30):
                tracked = costs.start(TARGET, demand, 0, lambda: 250)
                await asyncio.sleep(0.1)
                tracked.end(is_complete)
            after = costs.estimator.estimate(demand.features, ENGINE)
            assert (after != before) is is_complete
        assert after.answer_tokens > 500
        assert known.find_remaining_ms(TARGET) == 0
        assert counters.counter('cost_estimates', outcome='under') == 30

    virtual_time.run(check())


# Guards against log fields where requests are selected by load, against work
# in reports without the policy by cost, and against other policies than set.
def test_policies_report_and_log_what_they_use():
    async def check():
        for selection in ('load', 'cost', 'two_choices'):
            fleet_view, counters = view.FleetView(), metrics.Metrics()
            rng = random.Random(1)
            fleet_watcher = watcher.Watcher(
                'e-1', 'run', [], True, fleet_view, None, counters, rng
            )
            settings = gateway.GatewaySettings(
                'e-1',
                'central',
                'north',
                gateway.GatewayListenSettings('127.0.0.1:0'),
                gateway.GatewayControlSettings([]),
                scheduling=gateway.SchedulingSettings(selection),
            )
            role = entry_role.EntryRole(
                settings,
                dialects.DEFAULT,
                fleet_view,
                fleet_watcher,
                statements.EndpointStatements('Leaving', counters, rng),
                counters,
                rng,
                process.build_default(),
            )
            costs = role._context.costs
            has_costs = selection != 'load'
            assert (costs is not None) is has_costs
            chosen = role._context.chooser._policy
            assert (
                type(chosen)
                is {
                    'load': policy.LoadPolicy,
                    'cost': policy.CostPolicy,
                    'two_choices': two_choices.TwoChoicesPolicy,
                }[selection]
            )
            demand = admission.Demand('models', 'big', engine=ENGINE)
            if costs is not None:
                demand = build_demand(costs)
                # Admission is as by load except with the policy by cost.
                assert bool(demand.answer_tokens) is (selection == 'cost')
                costs.start(TARGET, demand, 0, lambda: 0)
            fields = tracking.describe(costs, TARGET, demand)
            report = fleet_watcher._build_report()
            assert bool(fields) is has_costs
            assert bool(report.remaining_work_ms) is (selection == 'cost')
            await role.close()

    virtual_time.run(check())
