"""What other hosts say of a voter's removal from the voter table."""


class LearnedRemoval:
    """Whether another host has applied the removal of this voter.

    A voter that was cut off decides from its own old log that it counts, and
    nobody sends it the log any more. What it is told here only makes it ask
    to join again: it changes neither its votes nor its log. Its vote for an
    old table can't decide an election, since each majority of that table has
    a voter that holds the removal and refuses a log without it.
    """

    __slots__ = ('_is_listed', '_voters_index')

    def __init__(self) -> None:
        self._voters_index = 0
        self._is_listed = True

    def note(self, voters_index: int, is_listed: bool) -> None:
        """Note another host's voter table, unless a newer one is known.

        :param voters_index: index up to which the other host has applied the
            log; 0 if its table is empty.
        :param is_listed: whether its table lists this voter.
        """
        if voters_index > self._voters_index:
            self._voters_index = voters_index
            self._is_listed = is_listed

    def is_removed(self, applied_index: int) -> bool:
        """Return whether the newest table known is one without this voter.

        :param applied_index: index up to which this voter has applied the
            log; its own table is at least as new if that isn't lower.
        """
        return not self._is_listed and self._voters_index > applied_index
