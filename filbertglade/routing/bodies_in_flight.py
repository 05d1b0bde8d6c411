"""Request bodies in flight, to route identical requests together.

A body that crashes engines crashes every engine on which it runs. Concurrent
requests with the same body are therefore sent to the same endpoint, unless
that costs too much time.
"""

from collections import abc
import hashlib

from filbertglade.routing import selection


class BodiesInFlight:
    """The endpoints on which this node has request bodies in flight."""

    def __init__(self) -> None:
        self._endpoints_by_body: dict[
            tuple[str, bytes], list[selection.EndpointKey]
        ] = {}

    def note_started(
        self, features: selection.RequestFeatures, key: selection.EndpointKey
    ) -> None:
        """Record that a request was sent.

        :param features: the request's features.
        :param key: the endpoint that it was sent to.
        """
        if features.body:
            body_key = (features.target, features.body)
            self._endpoints_by_body.setdefault(body_key, []).append(key)

    def note_finished(
        self, features: selection.RequestFeatures, key: selection.EndpointKey
    ) -> None:
        """Record that a request ended.

        :param features: the request's features.
        :param key: the endpoint that ran it.
        """
        body_key = (features.target, features.body)
        keys = self._endpoints_by_body.get(body_key, [])
        if key in keys:
            keys.remove(key)
        if not keys:
            self._endpoints_by_body.pop(body_key, None)

    def find_endpoints(
        self, features: selection.RequestFeatures
    ) -> abc.Collection[selection.EndpointKey]:
        """Return the endpoints on which the same body is in flight.

        :param features: the request's features.
        """
        return self._endpoints_by_body.get(
            (features.target, features.body), ()
        )


def rank_for_body(
    features: selection.RequestFeatures, candidate: selection.Candidate
) -> bytes:
    """Return an endpoint's rank for a body, which is equal on all nodes.

    :param features: the request's features.
    :param candidate: the endpoint.
    :returns: the rank; the endpoint with the highest one is preferred.
    """
    digest = hashlib.blake2b(features.body, digest_size=8)
    digest.update(candidate.name.encode())
    return digest.digest()
