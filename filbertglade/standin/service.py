"""Stand-in of a plain service's worker."""

from collections import abc

from tornado import web

from filbertglade.standin import settings as standin_settings


class ServiceHandler(web.RequestHandler):
    """Answers every call with what it was."""

    def initialize(
        self,
        settings: standin_settings.StandinSettings,
        host: str,
        record: abc.Callable[..., None],
    ) -> None:
        """Take the host's parts.

        :param settings: what to stand in for.
        :param host: the host's name.
        :param record: writes down what was taken.
        """
        self._settings = settings
        self._host = host
        self._record = record

    async def _answer(self) -> None:
        method = self.request.method
        self._record(
            'call', host=self._host, method=method, path=self.request.uri
        )
        self.finish(
            {
                'service': self._settings.service,
                'host': self._host,
                'method': method,
                'path': self.request.uri,
                'body': self.request.body.decode(errors='replace'),
            }
        )

    get = post = put = patch = delete = _answer
