"""Watchers that are sent the same frames, and when they are sent them."""

import asyncio
from collections import abc

from filbertglade import clock
from filbertglade.fleet import connected_watcher
from filbertglade.fleet import shared_frames
from filbertglade.observability import metrics

# Pause before changes are sent, in ms, so that those made at nearly the same
# time are sent in one frame.
BATCH_MS = 25
# Interval between two publications of changes in the long run, in ms for each
# watcher: bounds all frames with changes to 1000 a second.
CHANGE_INTERVAL_PER_WATCHER_MS = 1.0
# Publications that may follow each other without that interval, so that a
# change after a quiet time is sent at once.
BURST_PUBLICATIONS = 2
# Interval between two publications while only the load changes, in ms: the
# minimum, and the time per watcher, which limits all watchers together to
# about 500 frames a second.
MIN_LOAD_INTERVAL_MS = 50
LOAD_INTERVAL_PER_WATCHER_MS = 2
# Longest interval between two publications, in ms: changes of which nobody is
# notified go with the next one.
MAX_PUBLICATION_INTERVAL_MS = 250


class Audience:
    """Decides when the watchers of one kind are sent what has changed.

    :param builder: builds their frames.
    :param prepare_publication: called before each publication, with the
        builder.
    :param counters: the process's metrics.
    :ivar watchers: the watchers, by the identity of each object.
    """

    def __init__(
        self,
        builder: shared_frames.FrameBuilder,
        prepare_publication: abc.Callable[[shared_frames.FrameBuilder], None],
        counters: metrics.Metrics,
    ) -> None:
        self.builder = builder
        self.watchers: dict[int, connected_watcher.ConnectedWatcher] = {}
        self._prepare_publication = prepare_publication
        self._counters = counters
        self._timer: asyncio.TimerHandle | None = None
        self._due_ms = 0
        self._has_change = False
        self._published_ms = 0
        # Until when watchers that attach are told the published state.
        self._reusable_until_ms = 0
        # When the next publication of changes is due in the long run.
        self._allowed_ms = 0.0
        # When the first change was made that isn't published yet.
        self._changed_ms = 0
        # Watchers that haven't been sent the latest published changes, and
        # when the first of these was made.
        self._behind: set[int] = set()
        self._behind_since_ms = 0
        self._awaited = builder.published

    def add(self, watcher: connected_watcher.ConnectedWatcher) -> None:
        """Add a watcher.

        Its first frame tells the present state, or that of BATCH_MS ago.

        :param watcher: the watcher.
        """
        now_ms = clock.now_ms()
        self.watchers[id(watcher)] = watcher
        if now_ms >= self._reusable_until_ms:
            # Watchers that attach at nearly the same time share one view.
            self._reusable_until_ms = now_ms + BATCH_MS
            self._prepare_publication(self.builder)
        self._schedule(now_ms + MAX_PUBLICATION_INTERVAL_MS)

    def start_leading(self) -> None:
        """Let the next watcher's first frame tell the new state."""
        self._reusable_until_ms = 0

    def remove(self, watcher: connected_watcher.ConnectedWatcher) -> None:
        """Remove a watcher.

        :param watcher: the watcher.
        """
        self.watchers.pop(id(watcher), None)
        self._note_not_behind(watcher)
        if not self.watchers and self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def notify_change(self) -> None:
        """Schedule a publication of what has changed."""
        if not self.watchers:
            return
        if not self._has_change:
            self._has_change = True
            self._changed_ms = clock.now_ms()
        burst_ms = (BURST_PUBLICATIONS - 1) * self._change_interval_ms
        self._schedule(
            max(clock.now_ms() + BATCH_MS, int(self._allowed_ms - burst_ms))
        )

    def notify_load(self) -> None:
        """Schedule a publication of changed loads."""
        if not self.watchers:
            return
        interval_ms = max(
            MIN_LOAD_INTERVAL_MS,
            LOAD_INTERVAL_PER_WATCHER_MS * len(self.watchers),
        )
        self._schedule(max(clock.now_ms(), self._published_ms + interval_ms))

    def note_sent(
        self,
        watcher: connected_watcher.ConnectedWatcher,
        published: shared_frames.Versions,
    ) -> None:
        """Note that a watcher's connection has taken a frame.

        :param watcher: the watcher.
        :param published: the versions that the frame tells.
        """
        if published.covers(self._awaited):
            self._note_not_behind(watcher)

    def _note_not_behind(
        self, watcher: connected_watcher.ConnectedWatcher
    ) -> None:
        if id(watcher) not in self._behind:
            return
        self._behind.remove(id(watcher))
        if not self._behind:
            self._counters.record_ms(
                'change_sent', clock.now_ms() - self._behind_since_ms
            )

    @property
    def _change_interval_ms(self) -> float:
        return CHANGE_INTERVAL_PER_WATCHER_MS * len(self.watchers)

    def _schedule(self, due_ms: int) -> None:
        if self._timer is not None:
            if self._due_ms <= due_ms:
                return
            self._timer.cancel()
        self._due_ms = due_ms
        self._timer = asyncio.get_running_loop().call_later(
            (due_ms - clock.now_ms()) / 1000, self._publish
        )

    def _publish(self) -> None:
        """Let all watchers be sent a frame if it would tell them anything."""
        self._timer = None
        self._published_ms = now_ms = clock.now_ms()
        before = self.builder.published
        self._prepare_publication(self.builder)
        self._schedule(now_ms + MAX_PUBLICATION_INTERVAL_MS)
        has_change, self._has_change = self._has_change, False
        if not self.builder.get_frame(before, True).has_news:
            return
        if has_change:
            self._allowed_ms = (
                max(self._allowed_ms, now_ms) + self._change_interval_ms
            )
            if not self._behind:
                self._behind_since_ms = self._changed_ms
            self._behind = set(self.watchers)
            self._awaited = self.builder.published
        for watcher in self.watchers.values():
            watcher.changed_event.set()
