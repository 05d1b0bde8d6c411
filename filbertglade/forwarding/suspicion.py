"""Contains what crashes endpoints: a request, or a part of its prompt."""

import asyncio

from filbertglade import failures
from filbertglade.fleet import crash_reports
from filbertglade.fleet import dialects
from filbertglade.fleet import struck_requests
from filbertglade.fleet import suspect_keys
from filbertglade.forwarding import answered_parts
from filbertglade.forwarding import containment
from filbertglade.forwarding import server
from filbertglade.forwarding import targets

# Most parts of a prompt that are looked at.
MAX_PARTS = 16


class Suspects:
    """What may be to blame if an endpoint crashes under a request.

    :param request: key of the request.
    :param parts: keys of the parts of its prompt that others may share.
    """

    __slots__ = ('parts', 'request')

    def __init__(self, request: bytes, parts: tuple[bytes, ...] = ()) -> None:
        self.request = request
        self.parts = parts

    @property
    def keys(self) -> tuple[bytes, ...]:
        """The keys of all of them."""
        return (self.request, *self.parts)


def find_suspects(
    request: server.CallerRequest,
    dialect: dialects.Dialect,
    customer: str,
    service: str,
) -> Suspects:
    """Return what may be to blame if an endpoint crashes under a request.

    The request's key is equal for all its retries. The last part of a prompt
    belongs to the request alone.

    :param request: the request.
    :param dialect: the header names in use.
    :param customer: name of the request's customer.
    :param service: the service that runs it.
    """
    text = request.headers.get(dialect.prompt_parts, '')
    parts = [part.partition(':')[0].strip() for part in text.split(',')]
    shared_parts = dict.fromkeys(parts[:-1][:MAX_PARTS])
    return Suspects(
        suspect_keys.make_request_key(
            f'{request.method} {request.hostname} {request.target} '
            f'{customer} ',
            request.body,
        ),
        tuple(
            suspect_keys.make_part_key(service, part)
            for part in shared_parts
            if part
        ),
    )


class Permissions:
    """Permission to send a request to one endpoint.

    :ivar by_key: the permission for each suspect that needs a trial.
    """

    __slots__ = ('by_key',)

    def __init__(self) -> None:
        self.by_key: dict[bytes, containment.Permission] = {}

    @property
    def trials(self) -> list[int]:
        """Numbers of the trials in which the request is sent."""
        return [permission.trial for permission in self.by_key.values()]

    def find(self, key: bytes) -> containment.Permission:
        """Return the permission for a suspect.

        :param key: its key.
        """
        return self.by_key.get(key) or containment.Permission()


class Suspicion:
    """Decides by all suspects of a request whether it may be sent.

    A part on which this host has lately seen an answer isn't suspected,
    whatever crashed meanwhile: parts that many requests share would otherwise
    be struck with every crash.

    :param contained: contains single suspects.
    :param struck: the strikes that the host knows.
    :param reports: what this host reports to the leader.
    """

    def __init__(
        self,
        contained: containment.Containment,
        struck: struck_requests.StruckRequests,
        reports: crash_reports.CrashReports,
    ) -> None:
        self._containment = contained
        self._struck = struck
        self._reports = reports
        self._answered = answered_parts.AnsweredParts()

    async def admit(
        self, suspects: Suspects, remaining_ms: int
    ) -> Permissions | failures.Failure:
        """Wait until a request may be sent to an endpoint.

        Each suspect that needs a trial has to be granted one, in the order of
        their keys, so that no two hosts wait for each other.

        :param suspects: the request's suspects.
        :param remaining_ms: time until its deadline.
        :returns: the permission, or why it may not be sent;
            :meth:`find_retry_ms` tells when to come back.
        """
        permissions = Permissions()
        for key in sorted(suspects.keys):
            if self._answered.is_proven(key):
                if self._struck.needs_trial(key):
                    self._reports.report_served(key)
                continue
            if not self._struck.needs_trial(key):
                continue
            admitted = await self._containment.admit(key, remaining_ms)
            if isinstance(admitted, failures.Failure):
                self.end(permissions, False)
                return admitted
            if admitted.trial:
                permissions.by_key[key] = admitted
        return permissions

    def find_retry_ms(self, suspects: Suspects) -> int:
        """Return when a refused request may come back, in ms from now.

        :param suspects: the request's suspects.
        """
        return max(map(self._containment.find_retry_ms, suspects.keys))

    def record_survived(
        self, suspects: Suspects, permissions: Permissions
    ) -> None:
        """Record a complete response, which may report a failure.

        :param suspects: the request's suspects.
        :param permissions: the permission with which it was sent.
        """
        key = suspects.request
        self._containment.record_served(key, permissions.find(key))

    def record_served(
        self, suspects: Suspects, permissions: Permissions
    ) -> None:
        """Record that an endpoint answered a request successfully.

        :param suspects: the request's suspects.
        :param permissions: the permission with which it was sent.
        """
        self.record_survived(suspects, permissions)
        for part in suspects.parts:
            self._answered.note(part)
            self._containment.record_served(part, permissions.find(part))

    def _list_suspected(
        self, suspects: Suspects, permissions: Permissions
    ) -> list[tuple[bytes, containment.Permission]]:
        return [
            (key, permissions.find(key))
            for key in suspects.keys
            if not self._answered.is_proven(key)
        ]

    async def record_broken(
        self,
        suspects: Suspects,
        target: targets.Target,
        permissions: Permissions,
    ) -> None:
        """Find out whether an endpoint crashed as its response broke off.

        Returns when it is known, or after a short time.

        :param suspects: the request's suspects.
        :param target: the endpoint, or the head of the replica.
        :param permissions: the permission with which it was sent.
        """
        await asyncio.gather(
            *(
                self._containment.record_broken(key, target, permission)
                for key, permission in self._list_suspected(
                    suspects, permissions
                )
            )
        )

    def record_silence(
        self,
        suspects: Suspects,
        target: targets.Target,
        permissions: Permissions,
    ) -> None:
        """Record that a request ended without a complete response in time.

        :param suspects: the request's suspects.
        :param target: the endpoint, or the head of the replica.
        :param permissions: the permission with which it was sent.
        """
        for key, permission in self._list_suspected(suspects, permissions):
            self._containment.record_silence(key, target, permission)

    def end(self, permissions: Permissions, was_sent: bool) -> None:
        """End trials of which nothing else was recorded.

        :param permissions: the permission with which a request was sent, or
            not.
        :param was_sent: whether it was sent to an endpoint.
        """
        for key, permission in permissions.by_key.items():
            self._containment.end(key, permission, was_sent)
