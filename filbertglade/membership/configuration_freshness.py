"""Whether this control host's configuration is the newest."""

from filbertglade import clock
from filbertglade.control import agreement
from filbertglade.control import state


class ConfigurationFreshness:
    """Tracks when the local configuration was last as new as the leader's.

    Contact with the leader is not enough: a control host that lags in
    applying the log would confirm an old document. The acting leader
    therefore sends its document's number in its relay frames.

    :param agreed: the agreed state on this host.
    :param voters: this host's replica of the log.
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
        """Number of the local document; 0 before the first."""
        return int(self._agreed.configuration.current.number)

    def note_leader(self, number: int, age_ms: int) -> None:
        """Record the acting leader's document number.

        :param number: number of the leader's document when it sent it.
        :param age_ms: upper bound of the time since it was sent.
        """
        if self.number < number:
            return
        sent_ms = clock.now_ms() - age_ms
        if self._confirmed_ms is None or sent_ms > self._confirmed_ms:
            self._confirmed_ms = sent_ms

    def age_ms(self) -> int | None:
        """Return the time since the local document was last confirmed.

        A newer document may have been accepted since.

        :returns: milliseconds; None if the leader never confirmed the local
            document.
        """
        if self.is_leader:
            return 0
        if self._confirmed_ms is None:
            return None
        return clock.now_ms() - self._confirmed_ms
