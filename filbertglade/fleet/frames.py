"""Frames on the streams by which nodes watch the leader.

A large frame is sent in parts, so that its receiver notices within a short
time whether the leader is alive, however slow the link is.
"""

from collections import abc

from filbertglade.inner import fleet_pb2

# Size of one part, in bytes: on a slow or busy link one part must arrive
# within a fraction of the time after which the leader counts as lost.
PART_BYTES = 16_384
# Largest frame that is accepted, in bytes: far more than the view of the
# largest fleet.
MAX_FRAME_BYTES = 67_108_864


def split_frame(
    frame: fleet_pb2.FleetFrame,
) -> abc.Iterator[fleet_pb2.FleetFrame]:
    """Return the messages by which a frame is sent, in order.

    :param frame: a frame of the leader.
    :returns: the frame itself if it is small, or its parts.
    """
    if frame.ByteSize() <= PART_BYTES:
        yield frame
        return
    evacuated = frame.evacuated_data_centres
    data = memoryview(frame.SerializeToString())
    for start in range(0, len(data), PART_BYTES):
        yield fleet_pb2.FleetFrame(
            is_leader=frame.is_leader,
            part=bytes(data[start : start + PART_BYTES]),
            is_last_part=start + PART_BYTES >= len(data),
            # Known at once, however long the other parts take.
            evacuated_data_centres=() if start else evacuated,
            evacuations_index=0 if start else frame.evacuations_index,
        )


class FrameAssembler:
    """Puts the parts of a stream's frames together."""

    def __init__(self) -> None:
        self._data = bytearray()

    def add(
        self, message: fleet_pb2.FleetFrame
    ) -> fleet_pb2.FleetFrame | None:
        """Add the next message of the stream.

        :param message: a frame or a part of one.
        :returns: a frame that is complete now; None if parts are missing.
        :raises ConnectionError: the frame is too large.
        """
        if not message.part:
            return message
        self._data += message.part
        if len(self._data) > MAX_FRAME_BYTES:
            raise ConnectionError(
                f'a frame has more than {MAX_FRAME_BYTES} bytes'
            )
        if not message.is_last_part:
            return None
        frame = fleet_pb2.FleetFrame.FromString(bytes(self._data))
        self._data = bytearray()
        return frame
