"""Tracks which control hosts receive each other's relays."""

from filbertglade import clock
from filbertglade.inner import membership_pb2
from filbertglade.settings import model


class RelayPeers:
    """Tracks from which control hosts no frames arrive, here and at peers.

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
        """Record that a frame of a control host arrived.

        :param frame: its frame.
        :param age_ms: upper bound of the frame's age.
        """
        self._received_ms[frame.sender] = clock.now_ms() - age_ms
        self._unheard[frame.sender] = frozenset(frame.unheard)

    def list_silent(self) -> list[str]:
        """Return the control hosts without a frame in the presence limit."""
        oldest_ms = clock.now_ms() - self._limit_ms
        return [
            name
            for name in self._names
            if self._received_ms.get(name, oldest_ms - 1) < oldest_ms
        ]

    def needs_reports(self, peer: str, origin: str) -> bool:
        """Return whether a peer needs another one's reports from this host.

        :param peer: the peer.
        :param origin: the control host whose nodes reported.
        """
        return origin != peer and origin in self._unheard.get(peer, ())
