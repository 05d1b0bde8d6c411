"""Which control hosts hear each other."""

from filbertglade import clock
from filbertglade.inner import membership_pb2
from filbertglade.settings import model


class RelayPeers:
    """Which control hosts this one hears, and what each of them lacks.

    :param settings: the node's settings.
    """

    def __init__(self, settings: model.NodeSettings) -> None:
        self._limit_ms = settings.timings.presence_limit_ms
        self._names = [
            host.name
            for host in settings.control.hosts
            if host.name != settings.name
        ]
        self._received_ms: dict[str, int] = {}
        self._unheard: dict[str, frozenset[str]] = {}

    def note_frame(
        self, frame: membership_pb2.RelayFrame, age_ms: int
    ) -> None:
        """Note that a control host was heard.

        :param frame: its frame.
        :param age_ms: upper bound of the frame's age.
        """
        self._received_ms[frame.sender] = clock.now_ms() - age_ms
        self._unheard[frame.sender] = frozenset(frame.unheard)

    def list_unheard(self) -> list[str]:
        """Return the control hosts that are not heard here."""
        oldest_ms = clock.now_ms() - self._limit_ms
        return [
            name
            for name in self._names
            if self._received_ms.get(name, oldest_ms - 1) < oldest_ms
        ]

    def lacks(self, peer: str, origin: str) -> bool:
        """Tell whether a peer needs to be told what another one's nodes said.

        :param peer: the peer.
        :param origin: the control host whose nodes said it.
        """
        return origin != peer and origin in self._unheard.get(peer, ())
