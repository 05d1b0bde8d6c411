"""The HTTP application for callers and endpoints, and its server."""

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
    """An HTTP server that reports closed connections to its delegate."""

    def on_close(self, server_conn: object) -> None:
        """Report a closed connection.

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
    :param fleet: the node's view of the fleet.
    :param inbox: receives the announcements of endpoints.
    :param attached: the node's attachment; receives cache events.
    :param requests: runs the requests.
    :param counters: the process's metrics.
    :param find_obstacle: returns why the node accepts no requests, or '' if
        it does.
    :returns: the application.
    """
    request_arguments: dict[str, typing.Any] = {
        'settings': settings,
        'fleet': fleet,
        'requests': requests,
        'counters': counters,
    }
    announce_arguments = {
        'inbox': inbox,
        'attached': attached,
        'announce_ms': settings.timings.announce_ms,
    }
    return web.Application(
        [
            (
                r'/v1/chat/completions',
                handlers.ModelHandler,
                request_arguments,
            ),
            (r'/v1/completions', handlers.ModelHandler, request_arguments),
            (
                r'/services/[^/]+(?:/.*)?',
                handlers.ServiceHandler,
                request_arguments,
            ),
            (r'/v1/announce', announcing.AnnounceHandler, announce_arguments),
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
    """Serve an application; enforce the settings' limits on requests.

    :param settings: the node's settings.
    :param application: the application.
    :param address: ``host:port`` to listen on.
    :returns: the server; the caller stops it.
    :raises OSError: the server can't listen on the address.
    """
    # BoundedServer enforces the limits on messages, because it can respond
    # with a clear error.
    server = CallerServer(
        bounds.BoundedServer(settings, application),
        max_header_size=2 * settings.limits.header_bytes,
        max_body_size=sys.maxsize,
        max_buffer_size=settings.limits.body_bytes,
        # BoundedServer enforces the time-outs too. Tornado's own idle
        # time-out, an hour by default, would drop data that arrived while
        # the event loop was blocked.
    )
    host, port = channels.split_address(address)
    server.listen(port, host)
    return server
