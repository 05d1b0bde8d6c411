"""Commits group changes to the replicated log.

Hosts receive orders only for committed groups.
"""

from filbertglade.configuration import model as configuration_model
from filbertglade.control import agreement
from filbertglade.control import failures
from filbertglade.control import state
from filbertglade.inner import commands_pb2
from filbertglade.observability import logs

log = logs.get_log(__name__)

COMMIT_TIMEOUT_MS = 2000


class GroupWriter:
    """Commits group changes and logs them.

    :param agreed: the state applied from the replicated log.
    :param voters: this host's part in the replicated log.
    """

    def __init__(
        self, agreed: state.AgreedState, voters: agreement.Agreement
    ) -> None:
        self._agreed = agreed
        self._voters = voters

    async def form(
        self,
        deployment: configuration_model.Deployment,
        domain: str,
        hosts: list[str],
    ) -> bool:
        """Form a new group.

        :param deployment: its deployment.
        :param domain: its fabric domain.
        :param hosts: its hosts; the first receives the requests.
        :returns: whether the change was committed.
        """
        name = f'{deployment.name}-{self._agreed.applied_index + 1}'
        record = _build_record(deployment, name, domain, hosts)
        return await self._form(record, 'group.formed', [])

    async def replace_hosts(
        self,
        deployment: configuration_model.Deployment,
        current: commands_pb2.GroupRecord,
        hosts: list[str],
    ) -> bool:
        """Replace hosts of a group, which gets a new epoch.

        :param deployment: its deployment.
        :param current: the committed group.
        :param hosts: all its hosts after the change.
        :returns: whether the change was committed.
        """
        record = _build_record(
            deployment, current.group, current.fabric_domain, hosts
        )
        record.epoch = current.epoch
        removed = [host for host in current.hosts if host not in hosts]
        return await self._form(record, 'group.formed_anew', removed)

    async def _form(
        self,
        record: commands_pb2.GroupRecord,
        event: str,
        removed: list[str],
    ) -> bool:
        result = await self._submit(commands_pb2.GroupChange(form=record))
        if result is None:
            return False
        log.change(
            event,
            group=record.group,
            epoch=result.epoch,
            hosts=list(record.hosts),
            left=removed,
        )
        return True

    async def set_phase(
        self,
        record: commands_pb2.GroupRecord,
        phase: commands_pb2.GroupPhase,
        reason: str,
    ) -> bool:
        """Move a group to another phase.

        :param record: the group.
        :param phase: the phase.
        :param reason: the reason, for the log.
        :returns: whether the change was committed.
        """
        move = commands_pb2.GroupMove(
            group=record.group, epoch=record.epoch, phase=phase
        )
        result = await self._submit(commands_pb2.GroupChange(move=move))
        if result is None:
            return False
        name = commands_pb2.GroupPhase.Name(phase).lower()
        log.change(
            f'group.{name}', group=move.group, epoch=move.epoch, why=reason
        )
        return True

    async def _submit(
        self, change: commands_pb2.GroupChange
    ) -> commands_pb2.GroupResult | None:
        result = await self._voters.submit(
            commands_pb2.Command(group_change=change), COMMIT_TIMEOUT_MS
        )
        if isinstance(result, failures.SubmitFailure):
            return None
        if result.group.verdict != commands_pb2.GroupResult.DONE:
            log.change('group.change_refused', detail=result.group.detail)
            return None
        return result.group


def _build_record(
    deployment: configuration_model.Deployment,
    name: str,
    domain: str,
    hosts: list[str],
) -> commands_pb2.GroupRecord:
    return commands_pb2.GroupRecord(
        group=name,
        deployment=deployment.name,
        fabric_domain=domain,
        hosts=hosts,
        model=deployment.model,
        adapter=deployment.adapter,
        version=deployment.version,
    )


def is_outdated(
    record: commands_pb2.GroupRecord,
    deployment: configuration_model.Deployment,
) -> bool:
    """Tell whether a group differs from what its deployment specifies.

    :param record: the group.
    :param deployment: its deployment.
    """
    return (
        record.model != deployment.model
        or record.adapter != deployment.adapter
        or record.version != deployment.version
        or len(record.hosts) != deployment.hosts_per_replica
        or record.fabric_domain not in deployment.fabric_domains
    )
