"""Counting of voters' answers.

An answer counts by the life of the data folder that gave it: one from a
folder that the voter table doesn't name is no vote and no acknowledgement.
While a change of the table may or may not be committed, a majority is needed
both before and after it.
"""

from collections import abc
import dataclasses

NO_VALUE = -1


@dataclasses.dataclass(frozen=True, slots=True)
class VoterReply:
    """What one voter answered.

    :param incarnation: the life of its data folder.
    :param founding: whether that was marked as a founding voter's.
    :param value: how far it got; NO_VALUE counts as no answer.
    """

    incarnation: str
    founding: bool
    value: int


class Quorum:
    """The majorities that a decision needs.

    :param founders: names of the control hosts in the settings; they count
        as long as the voter table is empty.
    :param tables: incarnations by voter: the table applied, then the table
        after each change in the log that isn't applied yet.
    """

    def __init__(
        self,
        founders: abc.Sequence[str],
        tables: abc.Sequence[abc.Mapping[str, str]],
    ) -> None:
        self._founders = founders
        self._tables = tables

    def find_quorum_value(self, answers: abc.Mapping[str, VoterReply]) -> int:
        """Return the highest value that a quorum has reached.

        :param answers: what the voters answered, by name.
        :returns: the value, or NO_VALUE.
        """
        return min(
            self._find_majority_value(table, answers) for table in self._tables
        )

    def _find_majority_value(
        self,
        table: abc.Mapping[str, str],
        answers: abc.Mapping[str, VoterReply],
    ) -> int:
        members = table or self._founders
        values = sorted(
            (
                answer.value
                for name, answer in answers.items()
                if name in members and _counts(table, name, answer)
            ),
            reverse=True,
        )
        majority = len(members) // 2 + 1
        return values[majority - 1] if len(values) >= majority else NO_VALUE

    def counts_in_any_table(self, name: str, answer: VoterReply) -> bool:
        """Return whether a voter's answers count before or after a change.

        :param name: the voter.
        :param answer: any answer of it.
        """
        return any(_counts(table, name, answer) for table in self._tables)

    def counts_in_last_table(self, name: str, answer: VoterReply) -> bool:
        """Return whether a voter's answers count after every change.

        :param name: the voter.
        :param answer: any answer of it.
        """
        return _counts(self._tables[-1], name, answer)


def _counts(
    table: abc.Mapping[str, str], name: str, answer: VoterReply
) -> bool:
    if not table:
        return answer.founding
    return bool(answer.incarnation) and table.get(name) == answer.incarnation
