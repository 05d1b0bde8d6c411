"""Counting of voters' answers.

An answer counts by the life of the data folder that gave it: one from a
folder that the voter table doesn't name is no vote and no acknowledgement.
While a change of the table may or may not be committed, a majority is needed
both before and after it.
"""

from collections import abc
import dataclasses

NEVER = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What one voter answered.

    :param incarnation: the life of its data folder.
    :param founding: whether that was marked as a founding voter's.
    :param value: how far it got; NEVER counts as no answer.
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

    def find_reached(self, answers: abc.Mapping[str, Answer]) -> int:
        """Return the highest value that a quorum has reached.

        :param answers: what the voters answered, by name.
        :returns: the value, or NEVER.
        """
        return min(
            self._find_reached_in(table, answers) for table in self._tables
        )

    def _find_reached_in(
        self, table: abc.Mapping[str, str], answers: abc.Mapping[str, Answer]
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
        return values[majority - 1] if len(values) >= majority else NEVER

    def counts_somewhere(self, name: str, answer: Answer) -> bool:
        """Return whether a voter's answers count before or after a change.

        :param name: the voter.
        :param answer: any answer of it.
        """
        return any(_counts(table, name, answer) for table in self._tables)

    def counts_at_last(self, name: str, answer: Answer) -> bool:
        """Return whether a voter's answers count after every change.

        :param name: the voter.
        :param answer: any answer of it.
        """
        return _counts(self._tables[-1], name, answer)


def _counts(table: abc.Mapping[str, str], name: str, answer: Answer) -> bool:
    if not table:
        return answer.founding
    return bool(answer.incarnation) and table.get(name) == answer.incarnation
