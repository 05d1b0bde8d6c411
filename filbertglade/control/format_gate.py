"""Which commands a leader may append, by the releases of the voters."""

import typing

from filbertglade.control import log_formats
from filbertglade.inner import commands_pb2

if typing.TYPE_CHECKING:
    from filbertglade.control import leadership
    from filbertglade.control import voter_state


class FormatGate:
    """Knows the log format that the voters of one term have reached.

    :param voter: the voter that leads.
    :param leading: its term, with what the other voters have reported.
    """

    __slots__ = ('_leading', '_voter')

    def __init__(
        self,
        voter: 'voter_state.VoterState',
        leading: 'leadership.Leadership',
    ) -> None:
        self._voter = voter
        self._leading = leading

    def find_format(self) -> int:
        """Return the log format that all voters have reached."""
        voter = self._voter
        reported = {
            item.name: (item.incarnation, item.log_format)
            for item in self._leading.replicators
        }
        common = log_formats.find_common_format(
            voter.identity.incarnation,
            voter.name,
            reported,
            voter.voter_tables()[-1].incarnations,
        )
        return max(voter.state.log_format, common)

    def may_append(self, command: commands_pb2.Command) -> bool:
        """Return whether all voters are able to apply a command.

        :param command: the command.
        """
        needed = log_formats.find_format(command)
        return needed == 0 or needed <= self.find_format()

    def must_state(self, command: commands_pb2.Command) -> bool:
        """Return whether the log must state the voters' format first.

        A later leader, which a voter doesn't answer, can't find it out.

        :param command: the command.
        """
        needed = log_formats.find_format(command)
        return needed > self._voter.state.log_format
