"""Whether the document in force on this node is certainly the newest."""

import asyncio
import enum

from filbertglade import document_versions
from filbertglade.fleet import view
from filbertglade.fleet import watcher

# Age of the latest frame beyond which the leader is lost, in ms: the watcher's
# time-out, and the time to find a leader that still leads once more.
MAX_CONTACT_AGE_MS = watcher.LEADER_TIMEOUT_MS + 100
# Requests that may wait at once, each with its body in memory.
MAX_WAITING_REQUESTS = 64


class Doubt(enum.Enum):
    """Why a newer document than the one in force may have been accepted."""

    NEWER_ANNOUNCED = 'a newer version was announced'
    NEVER_TOLD = 'no leader has named its version'
    NO_CONTACT = 'no contact with the leader'


def find_doubt(
    version: int | None, announced_version: int | None, age_ms: int | None
) -> Doubt | None:
    """Return why a document may not be the newest.

    :param version: the version in force; None without a document.
    :param announced_version: highest version that a leader announced; None
        if none was.
    :param age_ms: time since the leader's latest frame, in ms; None if none
        was received.
    :returns: the reason; None if it is certainly the newest.
    """
    if document_versions.is_newer(announced_version, version):
        return Doubt.NEWER_ANNOUNCED
    if announced_version is None:
        return Doubt.NEVER_TOLD
    if age_ms is None or age_ms > MAX_CONTACT_AGE_MS:
        return Doubt.NO_CONTACT
    return None


class DocumentCertainty:
    """Tells whether a view's document is the newest, and waits for a change.

    :param fleet_view: the node's view.
    """

    def __init__(self, fleet_view: view.FleetView) -> None:
        self._view = fleet_view
        self._waiting = 0
        self._changed = asyncio.Event()
        fleet_view.add_listener(self._wake_if_certain)
        fleet_view.add_document_listener(self._wake)

    def find_doubt(self) -> Doubt | None:
        """Return why the document in force may not be the newest.

        :returns: the reason; None if it certainly is.
        """
        return find_doubt(
            self._view.version,
            self._view.announced_version,
            self._view.age_ms(),
        )

    @property
    def has_room(self) -> bool:
        """Whether one more request may wait."""
        return self._waiting < MAX_WAITING_REQUESTS

    async def wait_for_change(self, limit_ms: float) -> bool:
        """Wait until a document comes into force or none is in doubt.

        :param limit_ms: longest wait, in ms.
        :returns: whether that happened within the limit.
        """
        changed = self._changed
        self._waiting += 1
        try:
            async with asyncio.timeout(limit_ms / 1000):
                await changed.wait()
        except TimeoutError:
            return False
        finally:
            self._waiting -= 1
        return True

    def _wake_if_certain(self) -> None:
        if self._waiting and self.find_doubt() is None:
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
