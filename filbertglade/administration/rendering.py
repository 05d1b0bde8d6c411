"""Reports for operators, rendered as JSON by the leader."""

import json

from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.control import state
from filbertglade.fleet import evacuation_log
from filbertglade.groups import unserved
from filbertglade.inner import administration_pb2
from filbertglade.inner import commands_pb2
from filbertglade.membership import presence
from filbertglade.settings import model


class Renderer:
    """Renders reports from the state of this control host.

    :param settings: the node's settings.
    :param agreed: the agreed state.
    :param voters: this host's voter in the replicated log.
    :param presence_table: the hosts' and nodes' newest reports.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        presence_table: presence.PresenceTable,
    ) -> None:
        self._limit_ms = settings.timings.presence_limit_ms
        self._agreed = agreed
        self._voters = voters
        self._presence = presence_table
        self._started_ms = clock.now_ms()

    def render(self, subject: administration_pb2.Subject) -> bytes:
        """Render a report.

        :param subject: which report.
        :returns: JSON text.
        """
        if subject == administration_pb2.CONFIGURATION_HISTORY:
            report = self._render_history()
        elif subject == administration_pb2.CONFIGURATION_STATUS:
            report = self._render_configuration()
        else:
            report = self._render_cluster()
        return json.dumps(report).encode()

    def _render_history(self) -> dict[str, object]:
        changes = self._agreed.configuration.history()
        return {'changes': [_render_change(change) for change in changes]}

    def _render_configuration(self) -> dict[str, object]:
        current = self._agreed.configuration.current
        nodes = self._render_nodes()
        behind = [
            node['name']
            for node in nodes
            if node['configuration_number'] != current.number
        ]
        return {
            **_render_change(current),
            'in_force_everywhere': (
                bool(nodes) and not behind and self._has_complete_view()
            ),
            'behind': behind,
            'silent': self._list_silent(),
            'nodes': nodes,
        }

    def _has_complete_view(self) -> bool:
        # After a start, it takes up to the presence limit until every
        # present node has reported.
        return clock.now_ms() - self._started_ms > self._limit_ms

    def _list_silent(self) -> list[str]:
        oldest_ms = clock.now_ms() - self._limit_ms
        return [
            name
            for name, seen in sorted(self._presence.nodes.items())
            if seen.proven_ms < oldest_ms
        ]

    def _render_nodes(self) -> list[dict[str, object]]:
        now_ms = clock.now_ms()
        return [
            {
                'name': name,
                'region': seen.report.region,
                'data_centre': seen.report.data_centre,
                'configuration_number': seen.report.configuration_number,
                'draining': seen.report.draining,
                'age_ms': now_ms - seen.proven_ms,
            }
            for name, seen in sorted(self._presence.nodes.items())
            if now_ms - seen.proven_ms <= self._limit_ms
        ]

    def _render_cluster(self) -> dict[str, object]:
        status = self._voters.status()
        unserved_places = unserved.find_unserved(self._agreed, self._presence)
        return {
            'leader': status.leader,
            'term': status.term,
            'committed_index': status.committed_index,
            'losses_left': status.losses_left,
            'configuration': _render_change(
                self._agreed.configuration.current
            ),
            'evacuations': evacuation_log.describe(
                self._agreed.evacuations.list_evacuations(),
                self._voters.log_clock_ms(),
            ),
            'deployments_without_group': list(unserved_places),
            'unserved': [
                {
                    'deployment': name,
                    'evacuated': places,
                    'until': evacuation_log.END_RULE,
                }
                for name, places in unserved_places.items()
            ],
            'voters': [
                {
                    'name': voter.name,
                    'incarnation': voter.incarnation,
                    'match_index': voter.match_index,
                    'counts': voter.counts,
                    'reply_age_ms': voter.reply_age_ms,
                }
                for voter in status.voters
            ],
            'nodes': self._render_nodes(),
            'silent_nodes': self._list_silent(),
            'groups': self._render_groups(),
            'hosts': self._render_hosts(),
            'customers': self._render_customers(),
        }

    def _render_groups(self) -> list[dict[str, object]]:
        return [
            {
                'name': name,
                'epoch': record.epoch,
                'deployment': record.deployment,
                'fabric_domain': record.fabric_domain,
                'phase': commands_pb2.GroupPhase.Name(record.phase).lower(),
                'hosts': list(record.hosts),
            }
            for name, record in sorted(self._agreed.groups.groups.items())
        ]

    def _render_hosts(self) -> list[dict[str, object]]:
        return [
            {
                'name': name,
                'fabric_domain': seen.announcement.fabric_domain,
                'service': seen.announcement.service,
                'group': seen.announcement.group,
                'epoch': seen.announcement.epoch,
                'ready': seen.announcement.ready,
                'leaving': seen.announcement.leaving,
                'present': self._presence.is_present(name, self._limit_ms),
            }
            for name, seen in sorted(self._presence.hosts.items())
        ]

    def _render_customers(self) -> list[dict[str, object]]:
        current = self._agreed.configuration.current
        if not current.document:
            return []
        demand = self._sum_demand()
        return [
            {
                'name': customer['name'],
                'requests_per_s': round(demand.get(customer['name'], 0.0), 1),
            }
            for customer in json.loads(current.document).get('customers', [])
        ]

    def _sum_demand(self) -> dict[str, float]:
        oldest_ms = clock.now_ms() - self._limit_ms
        total: dict[str, float] = {}
        for seen in self._presence.nodes.values():
            if seen.proven_ms < oldest_ms:
                continue
            for demand in seen.report.demand:
                known = total.get(demand.customer, 0.0)
                total[demand.customer] = known + demand.requests_per_s
        return total


def _render_change(
    change: commands_pb2.PutConfiguration,
) -> dict[str, object]:
    return {
        'number': change.number,
        'change_id': change.change_id,
        'digest': change.digest,
    }
