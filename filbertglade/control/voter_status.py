"""The current status of a voter, as shown to operators."""

import dataclasses

from filbertglade import clock
from filbertglade.control import voter_state
from filbertglade import failures

HALTED = 'halted'


@dataclasses.dataclass(frozen=True, slots=True)
class VoterStatus:
    """Status of a voter, as seen by the reporting voter.

    :param name: name of the voter.
    :param incarnation: incarnation of its data folder in the voter table;
        empty if it has none.
    :param match_index: index up to which its log is known to match; always 0
        for other voters if the reporting voter isn't the leader.
    :param counts: whether its newest reply came from the data folder that the
        voter table lists; only the leader knows it of other voters.
    :param reply_age_ms: age of the newest request that it has replied to; 0
        for the reporting voter; None if there is none or the reporting voter
        isn't the leader.
    """

    name: str
    incarnation: str
    match_index: int
    counts: bool
    reply_age_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class AgreementStatus:
    """Status of the reporting voter.

    :param name: name of the voter.
    :param role: leader, follower, candidate, learner or halted.
    :param term: newest term seen.
    :param leader: leader of this term; empty if unknown.
    :param committed_index: index up to which the log is committed.
    :param applied_index: index up to which the log is applied.
    :param first_index: index of the first record held.
    :param last_index: index of the last record.
    :param snapshot_index: index of the last record that the snapshot covers.
    :param incarnation: incarnation of this voter's data folder.
    :param voters: status of all voters.
    :param failure: why it halted; empty if it didn't.
    :param halted_ms: time since it halted; None if it didn't.
    :param replying_count: number of voters that count and replied within an
        election time-out, the leader included; None unless it leads.
    :param losses_left: how many of these may be lost before nothing is agreed
        any more; None unless it leads.
    :param is_removed: whether another host has told it of its removal, and
        it hasn't applied as much of the log yet.
    """

    name: str
    role: str
    term: int
    leader: str
    committed_index: int
    applied_index: int
    first_index: int
    last_index: int
    snapshot_index: int
    incarnation: str
    voters: list[VoterStatus]
    failure: str = ''
    halted_ms: int | None = None
    replying_count: int | None = None
    losses_left: int | None = None
    is_removed: bool = False


def build_halted_status(
    name: str, failure: failures.Failure | None
) -> AgreementStatus:
    """Return the status of a host without a voter.

    :param name: name of the voter.
    :param failure: why it hasn't started; None if it was closed.
    """
    detail = '' if failure is None else str(failure)
    return AgreementStatus(name, HALTED, 0, '', 0, 0, 0, 0, 0, '', [], detail)


def build_status(
    voter: voter_state.VoterState, start_failure: failures.Failure | None
) -> AgreementStatus:
    """Return the status of a voter.

    :param voter: the voter.
    :param start_failure: why it could not be started again after it halted.
    """
    failure = start_failure or voter.failure
    leading = voter.leadership
    halted_ms = None
    if voter.halted_since_ms is not None:
        halted_ms = clock.now_ms() - voter.halted_since_ms
    return AgreementStatus(
        name=voter.name,
        role=voter.role.value,
        term=voter.term,
        leader=voter.leader,
        committed_index=voter.committed_index,
        applied_index=voter.state.applied_index,
        first_index=voter.journal.first_index,
        last_index=voter.journal.last_index,
        snapshot_index=voter.snapshot.index,
        incarnation=voter.identity.incarnation,
        voters=_list_voters(voter),
        failure='' if failure is None else str(failure),
        halted_ms=halted_ms,
        replying_count=None if leading is None else leading.replying_count(),
        losses_left=None if leading is None else leading.losses_left(),
        is_removed=voter.is_removed,
    )


def _list_voters(voter: voter_state.VoterState) -> list[VoterStatus]:
    table = voter.state.voters.incarnations
    matches = {voter.name: voter.journal.synced_index}
    incarnations = {voter.name: voter.identity.incarnation}
    reply_ages_ms: dict[str, int | None] = {voter.name: 0}
    if voter.leadership is not None:
        for replicator in voter.leadership.replicators:
            matches[replicator.name] = replicator.match_index
            incarnations[replicator.name] = replicator.incarnation
            reply_ages_ms[replicator.name] = replicator.acknowledged_age_ms
    hosts = voter.membership.list_hosts(table)
    names = [host.name for host in hosts]
    names += [name for name in table if name not in names]
    return [
        VoterStatus(
            name,
            table.get(name, ''),
            matches.get(name, 0),
            counts=bool(table.get(name))
            and incarnations.get(name) == table[name],
            reply_age_ms=reply_ages_ms.get(name),
        )
        for name in names
    ]
