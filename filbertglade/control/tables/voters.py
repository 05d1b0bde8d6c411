"""The voters, and the incarnation of the data folder of each."""

from collections import abc

from filbertglade.control.tables import base
from filbertglade.inner import commands_pb2


class VoterTable(base.Table):
    """Incarnations by voter; empty until the first leader founds the cluster.

    :ivar incarnations: by voter, the incarnation whose replies count; empty
        for a voter from which none has been received yet.
    """

    def __init__(self) -> None:
        self.incarnations: dict[str, str] = {}

    def copy(self) -> 'VoterTable':
        """Return an independent copy of the table."""
        table = VoterTable()
        table.incarnations = dict(self.incarnations)
        return table

    def apply_founding(self, founding: commands_pb2.VoterFounding) -> bool:
        """Set the voters of a new cluster.

        :param founding: the voters.
        :returns: whether they were set; only the first founding is
            accepted.
        """
        if self.incarnations:
            return False
        self.incarnations = {
            item.voter: item.incarnation for item in founding.voters
        }
        return True

    def apply_exchange(self, change: commands_pb2.VoterExchange) -> bool:
        """Change the incarnation of a voter, or add a voter.

        :param change: the change.
        :returns: whether it was made; the old incarnation must match.
        """
        current = self.incarnations.get(change.voter, '')
        if not self.incarnations or current != change.old_incarnation:
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
        :returns: whether the voters changed.
        """
        kind = command.WhichOneof('kind')
        if kind == 'voter_founding':
            return self.apply_founding(command.voter_founding)
        if kind == 'voter_exchange':
            return self.apply_exchange(command.voter_exchange)
        return False

    def dump(self) -> abc.Iterator[bytes]:
        """Return the complete table for a snapshot."""
        voters = [
            commands_pb2.VoterIncarnation(voter=name, incarnation=incarnation)
            for name, incarnation in self.incarnations.items()
        ]
        founding = commands_pb2.VoterFounding(voters=voters)
        return iter((founding.SerializeToString(),))

    def load_chunk(self, chunk: bytes) -> None:
        """Load one chunk of a snapshot.

        :param chunk: a chunk returned by :meth:`dump`.
        """
        self.apply_founding(commands_pb2.VoterFounding.FromString(chunk))
