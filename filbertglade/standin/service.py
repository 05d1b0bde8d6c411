"""Stand-in of a plain service's worker."""

from collections import abc

from tornado import web

from filbertglade.standin import faults as standin_faults
from filbertglade.standin import settings as standin_settings

CONFLICT = 409
SERVER_ERROR = 500
# A call that accepts this type is given its own body back.
ECHO_TYPE = 'application/octet-stream'


class ServiceHandler(web.RequestHandler):
    """Answers every call with what it was."""

    def initialize(
        self,
        settings: standin_settings.StandinSettings,
        host: str,
        record: abc.Callable[..., None],
        faults: standin_faults.Faults,
    ) -> None:
        """Take the host's parts.

        :param settings: what to stand in for.
        :param host: the host's name.
        :param record: writes down what was taken.
        :param faults: what goes wrong on the host.
        """
        self._settings = settings
        self._host = host
        self._record = record
        self._faults = faults

    async def _answer(self) -> None:
        if self._faults.takes_not_run():
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
        if self._faults.crashes(self.request.body, 0):
            return
        await self._faults.delay()
        if self._faults.takes_error():
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

    get = head = post = put = patch = delete = _answer
