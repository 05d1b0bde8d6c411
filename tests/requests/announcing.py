"""Announcements of workers that tests run beside a node."""

import contextlib
import threading
import time
import uuid

import httpx

from tests.requests import request_cluster

INTERVAL_S = 0.1


class Announcer:
    """Announces one worker of the plain service until it is closed.

    :param node: the node that it announces to.
    :param host: the worker's name.
    :param address: its address.
    """

    def __init__(self, node, host, address):
        self._node = node
        self._host = host
        self._address = address
        self._run = uuid.uuid4().hex
        self._sequence = 0
        self._is_closed = False
        threading.Thread(target=self._announce, daemon=True).start()

    def close(self):
        self._is_closed = True

    def _announce(self):
        token, received_s = '', 0.0
        while not self._is_closed:
            self._sequence += 1
            held_ms = int((time.monotonic() - received_s) * 1000)
            with contextlib.suppress(httpx.TransportError, KeyError):
                token = httpx.post(
                    f'{self._node.url}/v1/announce',
                    json={
                        'host': self._host,
                        'run': self._run,
                        'sequence': self._sequence,
                        'region': self._node.region,
                        'data_centre': self._node.data_centre,
                        'address': self._address,
                        'token': token,
                        'held_ms': held_ms if token else 0,
                        'leaving': False,
                        'service': request_cluster.SERVICE,
                    },
                ).json()['token']
                received_s = time.monotonic()
            time.sleep(INTERVAL_S)
