"""Proof of how old a frame is, by clock values that the peer echoes."""

from filbertglade import clock
from filbertglade.inner import membership_pb2


class FrameAgeBound:
    """This side's clock on one stream to a peer.

    A frame cannot have been sent before the peer saw the clock value that
    it echoes and then held it for as long as it says. The time since bounds
    the frame's age, however long the frame was buffered; only the rates of
    the two clocks must agree.
    """

    def __init__(self) -> None:
        self._peer_sent_ms = 0
        self._received_ms = 0

    @property
    def has_peer_clock(self) -> bool:
        """Whether the peer's clock was heard, so that stamps prove an age."""
        return self._peer_sent_ms > 0

    def stamp(self) -> membership_pb2.Clock:
        """Return the clock part of a frame to be sent now."""
        now_ms = clock.now_ms()
        return membership_pb2.Clock(
            sent_ms=now_ms,
            echoed_ms=self._peer_sent_ms,
            held_ms=now_ms - self._received_ms if self.has_peer_clock else 0,
        )

    def observe(self, received: membership_pb2.Clock) -> int | None:
        """Note the clock part of a frame that arrived.

        :param received: the frame's clock part.
        :returns: upper bound of the frame's age in milliseconds; None while
            the peer has echoed nothing, so that nothing is proven.
        """
        now_ms = clock.now_ms()
        if received.sent_ms > self._peer_sent_ms:
            self._peer_sent_ms = received.sent_ms
            self._received_ms = now_ms
        if not received.echoed_ms:
            return None
        return max(0, now_ms - received.echoed_ms - received.held_ms)
