"""Counting of voters' replies towards a quorum.

A reply carries the incarnation of the data folder it comes from. It counts
as a vote or an acknowledgement only if the voter table lists this
incarnation. While a change of the table may or may not be committed, a
majority is needed in the table before and in the table after the change.
"""

from collections import abc
import dataclasses

NO_VALUE = -1


@dataclasses.dataclass(frozen=True, slots=True)
class VoterReply:
    """A reply of one voter.

    :param incarnation: incarnation of the voter's data folder.
    :param founding: whether the folder was marked as a founding voter's.
    :param value: what is counted: a vote, a log index or a time in ms;
        NO_VALUE counts as no reply.
    """

    incarnation: str
    founding: bool
    value: int


class Quorum:
    """The majorities needed for a decision.

    :param founders: names of the control hosts that may found the cluster;
        they are the voters while the voter table is empty.
    :param tables: incarnations by voter: the applied voter table, then the
        table after each change in the log that isn't applied yet.
    """

    def __init__(
        self,
        founders: abc.Sequence[str],
        tables: abc.Sequence[abc.Mapping[str, str]],
    ) -> None:
        self._founders = founders
        self._tables = tables

    def find_quorum_value(self, replies: abc.Mapping[str, VoterReply]) -> int:
        """Return the highest value that a quorum of voters has reached.

        :param replies: replies by voter.
        :returns: the value, or NO_VALUE.
        """
        return min(
            self._find_majority_value(table, replies) for table in self._tables
        )

    def _find_majority_value(
        self,
        table: abc.Mapping[str, str],
        replies: abc.Mapping[str, VoterReply],
    ) -> int:
        members = table or self._founders
        values = sorted(
            (
                reply.value
                for name, reply in replies.items()
                if name in members and _counts(table, name, reply)
            ),
            reverse=True,
        )
        majority = len(members) // 2 + 1
        return values[majority - 1] if len(values) >= majority else NO_VALUE

    def counts_in_any_table(self, name: str, reply: VoterReply) -> bool:
        """Return whether a voter's replies count in any voter table.

        :param name: the voter.
        :param reply: any reply of the voter.
        """
        return any(_counts(table, name, reply) for table in self._tables)

    def counts_in_last_table(self, name: str, reply: VoterReply) -> bool:
        """Return whether a voter's replies count after all pending changes.

        :param name: the voter.
        :param reply: any reply of the voter.
        """
        return _counts(self._tables[-1], name, reply)


def _counts(
    table: abc.Mapping[str, str], name: str, reply: VoterReply
) -> bool:
    if not table:
        return reply.founding
    return bool(reply.incarnation) and table.get(name) == reply.incarnation
