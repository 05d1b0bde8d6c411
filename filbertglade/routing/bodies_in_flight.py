"""Bodies in flight, so that the same one seldom runs in many places.

A body that crashes engines takes along each one that it runs on at the same
moment; resends that come together are therefore sent together.
"""

from collections import abc
import hashlib

from filbertglade.routing import selection


class BodiesInFlight:
    """Where this node has bodies in flight."""

    def __init__(self) -> None:
        self._places: dict[tuple[str, bytes], list[selection.EndpointKey]] = {}

    def note_started(
        self, features: selection.RequestFeatures, key: selection.EndpointKey
    ) -> None:
        """Note that a request was sent.

        :param features: the request.
        :param key: where to.
        """
        if features.body:
            place = (features.target, features.body)
            self._places.setdefault(place, []).append(key)

    def note_finished(
        self, features: selection.RequestFeatures, key: selection.EndpointKey
    ) -> None:
        """Note that a request ended.

        :param features: the request.
        :param key: where it ran.
        """
        place = (features.target, features.body)
        keys = self._places.get(place, [])
        if key in keys:
            keys.remove(key)
        if not keys:
            self._places.pop(place, None)

    def find(
        self, features: selection.RequestFeatures
    ) -> abc.Collection[selection.EndpointKey]:
        """Return where the same body is in flight.

        :param features: the request.
        """
        return self._places.get((features.target, features.body), ())


def rank_for_body(
    features: selection.RequestFeatures, candidate: selection.Candidate
) -> bytes:
    """Return an order of endpoints that all nodes have in common for a body.

    :param features: the request.
    :param candidate: the endpoint.
    """
    digest = hashlib.blake2b(features.body, digest_size=8)
    digest.update(candidate.name.encode())
    return digest.digest()
