"""Commands that evacuate data centres."""

import time
from urllib import parse

import typer

from filbertglade.commands import client
from filbertglade.commands import config


def send_order(url: str, name: str, order: str) -> int:
    """Start or end an evacuation.

    :param url: base URL of a node's administration API, or of a gateway's
        control host.
    :param name: name of the data centre.
    :param order: ``start`` or ``end``.
    :returns: exit code: 0 once it is acknowledged, else 1.
    """
    path = f'/v1/evacuations/{parse.quote(name, safe="")}/{order}'
    # A retry is safe: what is done already changes nothing.
    for _ in range(config.MAX_ATTEMPTS - 1):
        response = client.fetch(url + path, 'POST', b'')
        if response.code not in config.RETRYABLE_STATUSES:
            break
        time.sleep(config.RETRY_PAUSE_S)
    else:
        response = client.fetch(url + path, 'POST', b'')
    if response.code != 200:
        return client.print_refusal(response)
    typer.echo(f'{order} of the evacuation of {name}: acknowledged')
    return 0


def list_evacuations(url: str) -> int:
    """Print the evacuations in force.

    :param url: base URL, as above.
    :returns: exit code: 1 if they could not be fetched, else 0.
    """
    return config.show(url, '/v1/evacuations')
