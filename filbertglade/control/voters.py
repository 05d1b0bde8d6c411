"""Which control hosts there are, and which of them are to vote."""

import abc as abstract
from collections import abc
import dataclasses

from filbertglade import clock
from filbertglade.settings import model

# Silence after which a candidate is no longer replicated to, in ms: three
# of the longest intervals between two of its greetings.
CANDIDATE_LIMIT_MS = 6000
# Silence after which a voter may be replaced by a candidate, in ms: longer
# than a restart of its process, shorter than the time in which a second
# loss is likely.
REPLACE_AFTER_MS = 5000


@dataclasses.dataclass(slots=True)
class VoterChange:
    """A change of the voters that a leader should make.

    :param voter: the voter that is added, or whose incarnation changes.
    :param removed: the voter that leaves by the same change; empty if none
        does.
    """

    voter: str
    removed: str = ''


class Membership(abstract.ABC):
    """Knows the control hosts."""

    @property
    @abstract.abstractmethod
    def founders(self) -> list[str]:
        """Names of those that may found the cluster together."""

    @property
    @abstract.abstractmethod
    def required_voter_count(self) -> int:
        """How many voters must be in before a change is acknowledged."""

    @abstract.abstractmethod
    def list_hosts(
        self, voters: abc.Iterable[str]
    ) -> list[model.ControlHostSettings]:
        """Return the control hosts to talk to.

        :param voters: names that stand in the voter tables.
        """

    @abstract.abstractmethod
    def find_addition(
        self,
        name: str,
        table: abc.Mapping[str, str],
        silences_ms: abc.Mapping[str, int],
    ) -> VoterChange | None:
        """Return how a host that is no voter becomes one.

        :param name: the host; its log is level.
        :param table: the incarnations by voter.
        :param silences_ms: for how long each voter has not answered.
        :returns: the change, or None if the host isn't needed.
        """


class FixedMembership(Membership):
    """The control hosts that the settings list.

    :param control: the settings.
    """

    def __init__(self, control: model.ControlSettings) -> None:
        self._hosts = control.hosts

    @property
    def founders(self) -> list[str]:
        """Names of those that may found the cluster together."""
        return [host.name for host in self._hosts]

    @property
    def required_voter_count(self) -> int:
        """How many voters must be in before a change is acknowledged."""
        return 0

    def list_hosts(
        self, voters: abc.Iterable[str]
    ) -> list[model.ControlHostSettings]:
        """Return the listed hosts, whoever votes.

        :param voters: names that stand in the voter tables.
        """
        return self._hosts

    def find_addition(
        self,
        name: str,
        table: abc.Mapping[str, str],
        silences_ms: abc.Mapping[str, int],
    ) -> VoterChange | None:
        """Return that every listed host becomes a voter.

        :param name: the host; its log is level.
        :param table: the incarnations by voter.
        :param silences_ms: for how long each voter has not answered.
        """
        return VoterChange(name)


class SeededMembership(Membership):
    """Control hosts that find each other from a few addresses.

    A host's name is its inner address. The seeds found the cluster; others
    greet its leader and are taken in until there are enough voters, or when
    one has been silent for long.

    :param seeds: inner addresses of the founders.
    :param tolerated_losses: how many voters' disks may be lost at once.
    """

    def __init__(self, seeds: list[str], tolerated_losses: int) -> None:
        self.seeds = list(seeds)
        self._required_voter_count = 2 * tolerated_losses + 1
        self._candidates_ms: dict[str, int] = {}

    @property
    def founders(self) -> list[str]:
        """Names of those that may found the cluster together."""
        return self.seeds

    @property
    def required_voter_count(self) -> int:
        """How many voters must be in before a change is acknowledged."""
        return self._required_voter_count

    def record_join_request(self, name: str) -> None:
        """Note that a control host has greeted this one.

        :param name: its inner address.
        """
        self._candidates_ms[name] = clock.now_ms()

    def list_hosts(
        self, voters: abc.Iterable[str]
    ) -> list[model.ControlHostSettings]:
        """Return the voters, and those that ask to be taken in.

        :param voters: names that stand in the voter tables.
        """
        oldest_ms = clock.now_ms() - CANDIDATE_LIMIT_MS
        self._candidates_ms = {
            name: at_ms
            for name, at_ms in self._candidates_ms.items()
            if at_ms >= oldest_ms
        }
        names = dict.fromkeys([*(voters or self.seeds), *self._candidates_ms])
        return [
            model.ControlHostSettings(name, name, 'unknown') for name in names
        ]

    def find_addition(
        self,
        name: str,
        table: abc.Mapping[str, str],
        silences_ms: abc.Mapping[str, int],
    ) -> VoterChange | None:
        """Return how a host that is no voter becomes one.

        :param name: the host; its log is level.
        :param table: the incarnations by voter.
        :param silences_ms: for how long each voter has not answered.
        :returns: the change, or None if the host isn't needed.
        """
        if len(table) < self._required_voter_count:
            return VoterChange(name)
        silent = max(silences_ms, key=silences_ms.__getitem__, default='')
        if not silent or silences_ms[silent] < REPLACE_AFTER_MS:
            return None
        return VoterChange(name, silent)
