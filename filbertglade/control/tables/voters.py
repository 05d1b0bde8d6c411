"""The voters and the life of the data folder that each votes with."""

from collections import abc

from filbertglade.control.tables import base
from filbertglade.inner import commands_pb2


class VoterTable(base.Table):
    """Incarnations by voter; empty until the first leader founds it.

    :ivar incarnations: the incarnation that counts, by voter; empty for a
        member that was never heard.
    """

    def __init__(self) -> None:
        self.incarnations: dict[str, str] = {}

    def copy(self) -> 'VoterTable':
        """Return a table that can be changed on its own."""
        table = VoterTable()
        table.incarnations = dict(self.incarnations)
        return table

    def apply_founding(self, founding: commands_pb2.VoterFounding) -> bool:
        """Take the voters of a new cluster.

        :param founding: the voters.
        :returns: whether they were taken; only the first founding is.
        """
        if self.incarnations:
            return False
        self.incarnations = {
            item.voter: item.incarnation for item in founding.voters
        }
        return True

    def apply_exchange(self, change: commands_pb2.VoterExchange) -> bool:
        """Take another incarnation for a voter, or a new voter.

        :param change: the exchange.
        :returns: whether it was made; the old incarnation must match.
        """
        present = self.incarnations.get(change.voter, '')
        if not self.incarnations or present != change.old_incarnation:
            return False
        self.incarnations = {
            **self.incarnations,
            change.voter: change.new_incarnation,
        }
        self.incarnations.pop(change.removed, None)
        return True

    def apply(self, command: commands_pb2.Command) -> bool:
        """Apply a command if it changes the voters.

        :param command: any command.
        :returns: whether it changed them.
        """
        kind = command.WhichOneof('kind')
        if kind == 'voter_founding':
            return self.apply_founding(command.voter_founding)
        if kind == 'voter_exchange':
            return self.apply_exchange(command.voter_exchange)
        return False

    def dump(self) -> abc.Iterator[bytes]:
        """Return the whole table for a snapshot."""
        voters = [
            commands_pb2.VoterIncarnation(voter=name, incarnation=incarnation)
            for name, incarnation in self.incarnations.items()
        ]
        founding = commands_pb2.VoterFounding(voters=voters)
        return iter((founding.SerializeToString(),))

    def load_chunk(self, chunk: bytes) -> None:
        """Take one part of a snapshot.

        :param chunk: a part that :meth:`dump` gave.
        """
        self.apply_founding(commands_pb2.VoterFounding.FromString(chunk))
