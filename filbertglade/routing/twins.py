"""Bodies in flight, so that the same one seldom runs in many places.

A body that crashes engines takes along each one that it runs on at the same
moment; resends that come together are therefore sent together.
"""

from collections import abc
import hashlib

from filbertglade.routing import selection


class TwinBook:
    """Where this node has bodies in flight."""

    def __init__(self) -> None:
        self._places: dict[tuple[str, bytes], list[selection.EndpointKey]] = {}

    def note_started(
        self, work: selection.Work, key: selection.EndpointKey
    ) -> None:
        """Note that a request was sent.

        :param work: the request.
        :param key: where to.
        """
        if work.body:
            place = (work.target, work.body)
            self._places.setdefault(place, []).append(key)

    def note_finished(
        self, work: selection.Work, key: selection.EndpointKey
    ) -> None:
        """Note that a request ended.

        :param work: the request.
        :param key: where it ran.
        """
        place = (work.target, work.body)
        keys = self._places.get(place, [])
        if key in keys:
            keys.remove(key)
        if not keys:
            self._places.pop(place, None)

    def find(
        self, work: selection.Work
    ) -> abc.Collection[selection.EndpointKey]:
        """Return where the same body is in flight.

        :param work: the request.
        """
        return self._places.get((work.target, work.body), ())


def rank_for_body(
    work: selection.Work, candidate: selection.Candidate
) -> bytes:
    """Return an order of endpoints that all nodes have in common for a body.

    :param work: the request.
    :param candidate: the endpoint.
    """
    digest = hashlib.blake2b(work.body, digest_size=8)
    digest.update(candidate.name.encode())
    return digest.digest()
