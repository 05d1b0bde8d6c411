"""The HTTP application towards callers and endpoints."""

from collections import abc
import sys
import typing

from tornado import httpserver
from tornado import web

from filbertglade.entry import announcing
from filbertglade.entry import bounds
from filbertglade.entry import handlers
from filbertglade.entry import health
from filbertglade.inner import channels
from filbertglade.membership import announcements
from filbertglade.membership import attachment
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.requests import request_runner
from filbertglade.settings import model


class CallerServer(httpserver.HTTPServer):
    """An HTTP server that says which connections are closed."""

    def on_close(self, server_conn: object) -> None:
        """Forget a connection.

        :param server_conn: the connection.
        """
        super().on_close(server_conn)
        bounded = typing.cast(bounds.BoundedServer, self.request_callback)
        bounded.on_close(server_conn)


def build_application(
    settings: model.NodeSettings,
    fleet: view.FleetView,
    inbox: announcements.AnnouncementInbox,
    attached: attachment.Attachment,
    requests: request_runner.RequestRunner,
    counters: metrics.Metrics,
    find_obstacle: abc.Callable[[], str],
) -> web.Application:
    """Build the application.

    :param settings: the node's settings.
    :param fleet: the node's view.
    :param inbox: where announcements go.
    :param attached: where endpoints' cache events go.
    :param requests: what runs requests.
    :param counters: the process's metrics.
    :param find_obstacle: returns why no request is taken, or ''.
    :returns: the application.
    """
    run: dict[str, typing.Any] = {
        'settings': settings,
        'fleet': fleet,
        'requests': requests,
        'counters': counters,
    }
    announce = {
        'inbox': inbox,
        'attached': attached,
        'announce_ms': settings.timings.announce_ms,
    }
    return web.Application(
        [
            (r'/v1/chat/completions', handlers.ModelHandler, run),
            (r'/v1/completions', handlers.ModelHandler, run),
            (r'/services/[^/]+(?:/.*)?', handlers.ServiceHandler, run),
            (r'/v1/announce', announcing.AnnounceHandler, announce),
            (r'/healthz', health.HealthHandler),
            (
                r'/readyz',
                health.ReadyHandler,
                {'find_obstacle': find_obstacle},
            ),
            (r'/metrics', health.MetricsHandler, {'counters': counters}),
        ],
        log_function=lambda handler: None,
    )


def listen(
    settings: model.NodeSettings, application: web.Application, address: str
) -> httpserver.HTTPServer:
    """Serve an application within the settings' bounds.

    :param settings: the node's settings.
    :param application: the application.
    :param address: ``host:port`` to listen on.
    :returns: the server; the caller stops it.
    :raises OSError: the address can't be listened on.
    """
    # The bounds of a message are kept where a clear error can be given.
    server = CallerServer(
        bounds.BoundedServer(settings, application),
        max_header_size=2 * settings.limits.header_bytes,
        max_body_size=sys.maxsize,
        max_buffer_size=settings.limits.body_bytes,
        # Time-outs are kept there too: this one, an hour by default, would
        # drop what arrived while the loop was held up.
    )
    host, port = channels.split_address(address)
    server.listen(port, host)
    return server
