"""Which control hosts exist, and which of them should be voters."""

import abc as abstract
from collections import abc
import dataclasses

from filbertglade import clock
from filbertglade.settings import model

# Time after its last join request in which the log is still replicated to a
# control host, in ms: fifteen times the interval between requests.
JOIN_REQUEST_EXPIRY_MS = 6000
# Time without a reply after which a voter may be replaced, in ms. A new leader
# counts it anew: with its election, and the exchange, it is within the 4 s
# after which the successor of a removed host has to count.
REPLACE_AFTER_MS = 2000


@dataclasses.dataclass(slots=True)
class VoterChange:
    """A change of the voters that the leader should make.

    :param voter: the voter that is added, or whose incarnation changes.
    :param removed: the voter that is removed by the same change; empty if
        there is none.
    """

    voter: str
    removed: str = ''


class Membership(abstract.ABC):
    """Interface for finding control hosts and choosing voters."""

    @property
    @abstract.abstractmethod
    def founders(self) -> list[str]:
        """Names of the control hosts that may found the cluster."""

    @property
    @abstract.abstractmethod
    def required_voter_count(self) -> int:
        """Number of voters needed before a change is acknowledged."""

    @abstract.abstractmethod
    def list_hosts(
        self, voters: abc.Iterable[str]
    ) -> list[model.ControlHostSettings]:
        """Return the control hosts to communicate with.

        :param voters: names in the voter tables.
        """

    @abstract.abstractmethod
    def find_addition(
        self,
        name: str,
        table: abc.Mapping[str, str],
        unresponsive_ms: abc.Mapping[str, int],
    ) -> VoterChange | None:
        """Return the change that makes a host a voter, if one is needed.

        :param name: the host; its log has caught up.
        :param table: incarnations by voter.
        :param unresponsive_ms: time since the last reply of each voter, in ms.
        :returns: the change, or None if the host isn't needed.
        """


class FixedMembership(Membership):
    """The control hosts listed in the settings.

    :param control: settings of the control hosts.
    """

    def __init__(self, control: model.ControlSettings) -> None:
        self._hosts = control.hosts

    @property
    def founders(self) -> list[str]:
        """Names of the control hosts that may found the cluster."""
        return [host.name for host in self._hosts]

    @property
    def required_voter_count(self) -> int:
        """Number of voters needed before a change is acknowledged."""
        return 0

    def list_hosts(
        self, voters: abc.Iterable[str]
    ) -> list[model.ControlHostSettings]:
        """Return the listed hosts, regardless of who votes.

        :param voters: names in the voter tables.
        """
        return self._hosts

    def find_addition(
        self,
        name: str,
        table: abc.Mapping[str, str],
        unresponsive_ms: abc.Mapping[str, int],
    ) -> VoterChange | None:
        """Return the change that makes a listed host a voter.

        :param name: the host; its log has caught up.
        :param table: incarnations by voter.
        :param unresponsive_ms: time since the last reply of each voter, in ms.
        """
        return VoterChange(name)


class SeededMembership(Membership):
    """Control hosts that find each other through seed addresses.

    A host's name is its inner address. The seeds found the cluster. Other
    hosts send join requests to its leader, which makes them voters until
    there are enough, or in place of a voter that hasn't replied for
    REPLACE_AFTER_MS.

    :param seeds: inner addresses of the founders.
    :param tolerated_losses: number of voters whose disks may be lost
        concurrently.
    """

    def __init__(self, seeds: list[str], tolerated_losses: int) -> None:
        self.seeds = list(seeds)
        self._required_voter_count = 2 * tolerated_losses + 1
        self._join_requests_ms: dict[str, int] = {}

    @property
    def founders(self) -> list[str]:
        """Names of the control hosts that may found the cluster."""
        return self.seeds

    @property
    def required_voter_count(self) -> int:
        """Number of voters needed before a change is acknowledged."""
        return self._required_voter_count

    def record_join_request(self, name: str) -> None:
        """Record a join request of a control host.

        :param name: inner address of the host.
        """
        self._join_requests_ms[name] = clock.now_ms()

    def list_hosts(
        self, voters: abc.Iterable[str]
    ) -> list[model.ControlHostSettings]:
        """Return the voters, and hosts with a recent join request.

        :param voters: names in the voter tables.
        """
        oldest_ms = clock.now_ms() - JOIN_REQUEST_EXPIRY_MS
        self._join_requests_ms = {
            name: at_ms
            for name, at_ms in self._join_requests_ms.items()
            if at_ms >= oldest_ms
        }
        names = dict.fromkeys(
            [*(voters or self.seeds), *self._join_requests_ms]
        )
        return [
            model.ControlHostSettings(name, name, 'unknown') for name in names
        ]

    def find_addition(
        self,
        name: str,
        table: abc.Mapping[str, str],
        unresponsive_ms: abc.Mapping[str, int],
    ) -> VoterChange | None:
        """Return the change that makes a host a voter, if one is needed.

        :param name: the host; its log has caught up.
        :param table: incarnations by voter.
        :param unresponsive_ms: time since the last reply of each voter, in ms.
        :returns: the change, or None if the host isn't needed.
        """
        if len(table) < self._required_voter_count:
            return VoterChange(name)
        longest_unresponsive = max(
            unresponsive_ms, key=unresponsive_ms.__getitem__, default=''
        )
        if (
            not longest_unresponsive
            or unresponsive_ms[longest_unresponsive] < REPLACE_AFTER_MS
        ):
            return None
        return VoterChange(name, longest_unresponsive)
