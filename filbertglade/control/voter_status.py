"""The current status of a voter, as shown to operators."""

import dataclasses

from filbertglade.control import voter_state

HALTED = 'halted'


@dataclasses.dataclass(frozen=True, slots=True)
class VoterStatus:
    """Status of a voter, as seen by the reporting voter.

    :param name: name of the voter.
    :param incarnation: incarnation of its data folder in the voter table;
        empty if it has none.
    :param match_index: index up to which its log is known to match; always 0
        for other voters if the reporting voter isn't the leader.
    """

    name: str
    incarnation: str
    match_index: int


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


def build_halted_status(name: str) -> AgreementStatus:
    """Return the status of a halted voter.

    :param name: name of the voter.
    """
    return AgreementStatus(name, HALTED, 0, '', 0, 0, 0, 0, 0, '', [])


def build_status(voter: voter_state.VoterState) -> AgreementStatus:
    """Return the status of a voter.

    :param voter: the voter.
    """
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
    )


def _list_voters(voter: voter_state.VoterState) -> list[VoterStatus]:
    matches = {voter.name: voter.journal.synced_index}
    if voter.leadership is not None:
        for replicator in voter.leadership.replicators:
            matches[replicator.name] = replicator.match_index
    table = voter.state.voters.incarnations
    hosts = voter.membership.list_hosts(table)
    names = [host.name for host in hosts]
    names += [name for name in table if name not in names]
    return [
        VoterStatus(name, table.get(name, ''), matches.get(name, 0))
        for name in names
    ]
