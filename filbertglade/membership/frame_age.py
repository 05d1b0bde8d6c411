"""Upper bounds on the age of frames, from clock values that a peer echoes."""

from filbertglade import clock
from filbertglade.inner import membership_pb2


class FrameAgeBound:
    """This side's part of the clock exchange on one stream to a peer.

    The peer echoes the newest clock value that it has received and says for
    how long it has held it. The frame cannot have been sent earlier than
    that value plus the holding time, which bounds its age however long it
    was buffered. The two clocks need not be synchronised; only their rates
    must agree.
    """

    def __init__(self) -> None:
        self._peer_sent_ms = 0
        self._received_ms = 0

    @property
    def has_peer_clock(self) -> bool:
        """Whether a clock value of the peer has arrived.

        From then on, stamps carry an echo that bounds a frame's age.
        """
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
        """Record the clock part of a frame that arrived.

        :param received: the frame's clock part.
        :returns: upper bound of the frame's age in milliseconds; None while
            the peer has echoed no clock value, so that no bound is known.
        """
        now_ms = clock.now_ms()
        if received.sent_ms > self._peer_sent_ms:
            self._peer_sent_ms = received.sent_ms
            self._received_ms = now_ms
        if not received.echoed_ms:
            return None
        return max(0, now_ms - received.echoed_ms - received.held_ms)
