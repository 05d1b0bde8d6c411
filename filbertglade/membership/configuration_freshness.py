"""Whether this control host's configuration is the newest there is."""

from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.control import state


class ConfigurationFreshness:
    """Knows when the configuration here was last no older than the leader's.

    Hearing the leader is not enough: a control host that lags in applying
    would vouch for an old document. The acting leader therefore names its
    document's number in its relay frames.

    :param agreed: the agreed state here.
    :param voters: this host's part in the replicated log.
    """

    def __init__(
        self, agreed: state.AgreedState, voters: agreement.Agreement
    ) -> None:
        self._agreed = agreed
        self._voters = voters
        self._confirmed_ms: int | None = None

    @property
    def is_leader(self) -> bool:
        """Whether this control host acts as leader."""
        return bool(self._voters.is_leader)

    @property
    def number(self) -> int:
        """Number of the document here; 0 before the first."""
        return int(self._agreed.configuration.current.number)

    def note_leader(self, number: int, age_ms: int) -> None:
        """Take in what the acting leader said.

        :param number: number of the leader's document when it said so.
        :param age_ms: upper bound of the time since.
        """
        if self.number < number:
            return
        said_ms = clock.now_ms() - age_ms
        if self._confirmed_ms is None or said_ms > self._confirmed_ms:
            self._confirmed_ms = said_ms

    def age_ms(self) -> int | None:
        """Return for how long a newer document may have been accepted.

        :returns: milliseconds; None if the leader never confirmed the
            document here.
        """
        if self.is_leader:
            return 0
        if self._confirmed_ms is None:
            return None
        return clock.now_ms() - self._confirmed_ms
