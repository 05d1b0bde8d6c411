"""A voter at one moment, as it is shown to operators."""

import dataclasses

from filbertglade.control import voter_state

HALTED = 'halted'


@dataclasses.dataclass(frozen=True, slots=True)
class VoterStatus:
    """A voter as this one knows it.

    :param name: its name.
    :param incarnation: the life of its data folder that counts; empty if
        none does.
    :param match_index: index up to which its log is known to match; on a
        voter that doesn't lead, 0 for all others.
    """

    name: str
    incarnation: str
    match_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class AgreementStatus:
    """This voter at one moment.

    :param name: its name.
    :param role: leader, follower, candidate, learner or halted.
    :param term: newest term seen.
    :param leader: leader of this term; empty if unknown.
    :param committed_index: index up to which the log is committed.
    :param applied_index: index up to which it is applied.
    :param first_index: index of the first record held.
    :param last_index: index of the last record.
    :param snapshot_index: index of the snapshot's record.
    :param incarnation: the life of this voter's data folder.
    :param voters: every voter.
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
    """Return the status of a voter that takes no part.

    :param name: its name.
    """
    return AgreementStatus(name, HALTED, 0, '', 0, 0, 0, 0, 0, '', [])


def build_status(voter: voter_state.VoterState) -> AgreementStatus:
    """Return a voter's status.

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
