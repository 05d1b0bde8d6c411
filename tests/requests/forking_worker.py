"""A worker whose processes share one listening socket, as a real process.

Each of its processes serves one connection at a time, and one that ends is
replaced: the address takes connections also right after a crash.
"""

import contextlib
import http.server
import os
import pathlib
import signal
import socket
import sys

PROCESSES = 16
KILLING_PATH = '/killing'
CRASH_STATUS = 70


def read_runs(folder):
    """Return how often the killing request ran in a worker."""
    return len((folder / 'runs').read_text().split())


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers every request but the killing one."""

    protocol_version = 'HTTP/1.1'
    runs: pathlib.Path

    def log_message(self, *_):
        """Log nothing."""

    def do_GET(self):  # noqa: N802
        if self.path == KILLING_PATH:
            with open(self.runs, 'a') as file:
                file.write(f'{os.getpid()}\n')
            os._exit(CRASH_STATUS)
        self.send_response(200)
        self.send_header('Content-Length', '2')
        self.end_headers()
        self.wfile.write(b'ok')


def _serve(listener):
    while True:
        connection, address = listener.accept()
        with contextlib.suppress(OSError), connection:
            Handler(connection, address, None)


def main(folder):
    Handler.runs = folder / 'runs'
    Handler.runs.touch()
    listener = socket.create_server(('127.0.0.1', 0))
    children = set()

    def stop(*_):
        for child in children:
            os.kill(child, signal.SIGKILL)
        os._exit(0)

    def start():
        child = os.fork()
        if not child:
            signal.signal(signal.SIGTERM, signal.SIG_DFL)
            _serve(listener)
        children.add(child)

    signal.signal(signal.SIGTERM, stop)
    for _ in range(PROCESSES):
        start()
    host, port = listener.getsockname()
    print(f'{host}:{port}', flush=True)
    while True:
        child, _ = os.wait()
        children.discard(child)
        start()


if __name__ == '__main__':
    main(pathlib.Path(sys.argv[1]))
