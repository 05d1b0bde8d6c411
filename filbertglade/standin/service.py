"""Stand-in for a worker of a plain service."""

from collections import abc

from tornado import web

from filbertglade.standin import faults as standin_faults
from filbertglade.standin import settings as standin_settings

CONFLICT = 409
SERVER_ERROR = 500
# The response to a call that accepts this type is the call's own body.
ECHO_TYPE = 'application/octet-stream'


class ServiceHandler(web.RequestHandler):
    """Responds to every call with a description of the call."""

    def initialize(
        self,
        settings: standin_settings.StandinSettings,
        host: str,
        record: abc.Callable[..., None],
        faults: standin_faults.Faults,
    ) -> None:
        """Set the objects of the host.

        :param settings: settings of the stand-ins.
        :param host: the host's name.
        :param record: records a received call.
        :param faults: the faults of this host.
        """
        self._settings = settings
        self._host = host
        self._record = record
        self._faults = faults

    async def _respond(self) -> None:
        if self._faults.consume_refusal():
            self.set_status(CONFLICT)
            self.set_header('X-Outcome', 'not_run')
            return
        method = self.request.method
        self._record(
            'call',
            host=self._host,
            method=method,
            path=self.request.uri,
            key=self.request.headers.get('Idempotency-Key', ''),
        )
        if self._faults.crash_if_planned(self.request.body, 0):
            return
        await self._faults.delay()
        if self._faults.consume_error():
            self.set_status(SERVER_ERROR)
            return
        self.set_header('X-Worker', self._host)
        if self.request.headers.get('Accept') == ECHO_TYPE:
            self.set_header('Content-Type', ECHO_TYPE)
            self.finish(self.request.body)
            return
        self.finish(
            {
                'service': self._settings.service,
                'host': self._host,
                'method': method,
                'path': self.request.uri,
                'body': self.request.body.decode(errors='replace'),
            }
        )

    get = head = post = put = patch = delete = _respond
