"""Reads the routing lines that a node receives from its control host."""

from filbertglade.inner import membership_pb2
from filbertglade.membership import view


class LineReader:
    """Applies the lines of one stream to a view of the fleet.

    Later frames refer to a line by its number, which the reader maps to the
    group or worker.

    :param fleet: the view to update.
    """

    def __init__(self, fleet: view.FleetView) -> None:
        self._fleet = fleet
        self._groups: dict[int, str] = {}
        self._workers: dict[int, str] = {}

    def read(
        self, frame: membership_pb2.ControlFrame, transit_ms: int
    ) -> None:
        """Apply a frame's lines to the view.

        :param frame: the frame.
        :param transit_ms: upper bound of the time since it was sent.
        """
        self._remove_gone(frame)
        for line in frame.groups:
            self._groups[line.number] = line.group
            self._fleet.note_group(line, transit_ms)
        for worker in frame.workers:
            self._workers[worker.number] = worker.host
            self._fleet.note_worker(worker, transit_ms)
        for update in frame.loads:
            self._update_load(update)
        self._update_ages(frame, transit_ms)

    def _remove_gone(self, frame: membership_pb2.ControlFrame) -> None:
        for number in frame.gone:
            group = self._groups.pop(number, None)
            if group is not None:
                self._fleet.forget_group(group)
            worker = self._workers.pop(number, None)
            if worker is not None:
                self._fleet.forget_worker(worker)

    def _update_load(self, update: membership_pb2.LoadUpdate) -> None:
        if update.number in self._groups:
            self._fleet.note_group_load(
                self._groups[update.number], update.load
            )
        elif update.number in self._workers:
            self._fleet.note_worker_load(
                self._workers[update.number], update.load
            )

    def _update_ages(
        self, frame: membership_pb2.ControlFrame, transit_ms: int
    ) -> None:
        aged_ms = {item.number: item.age_ms for item in frame.aged}
        shared_ms = frame.shared_age_ms
        for number, group in self._groups.items():
            age_ms = aged_ms.get(number, shared_ms) + transit_ms
            self._fleet.note_group_age(group, age_ms)
        for number, worker in self._workers.items():
            age_ms = aged_ms.get(number, shared_ms) + transit_ms
            self._fleet.note_worker_age(worker, age_ms)
