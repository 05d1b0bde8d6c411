"""Readers of long bodies."""

from filbertglade.budgets import turns


class RecordingReader(turns.Reader):
    """Records what it is told.

    :ivar received: what has arrived, in bytes.
    :ivar events: what it was told.
    """

    def __init__(self):
        self.received = 0
        self.events = []

    @property
    def received_bytes(self):
        return self.received

    def start_turn(self):
        self.events.append('turn')

    def refuse_wait(self):
        self.events.append('wait')

    def refuse_slow(self):
        self.events.append('slow')
