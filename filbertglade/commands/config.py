"""Commands that show and change the operators' document."""

import json
import pathlib
import time

from tornado import httpclient
import typer

from filbertglade.commands import check
from filbertglade.commands import client
from filbertglade.commands import messages
from filbertglade.configuration import model

MAX_ATTEMPTS = 5
RETRY_PAUSE_S = 0.5
WAIT_TIMEOUT_S = 60
POLL_INTERVAL_S = 0.1
RETRYABLE_STATUSES = (client.NO_RESPONSE, 503, 504)


def show(url: str, path: str) -> int:
    """Print a resource of the administration API.

    :param url: base URL of the node's administration API.
    :param path: path of the resource.
    :returns: exit code: 1 if it could not be fetched, else 0.
    """
    found = client.fetch_json(url + path)
    if found is None:
        return client.EXIT_FAILURE
    typer.echo(json.dumps(found, indent=2))
    return 0


def apply(url: str, path: pathlib.Path, wait: bool) -> int:
    """Commit a document.

    :param url: base URL of the node's administration API.
    :param path: the JSON file.
    :param wait: whether to wait until it is in force on all nodes.
    :returns: exit code: 0 if it was accepted, 1 if not or if the outcome is
        unknown, 2 if the document is invalid.
    """
    found = check.read_document(path)
    if found is None:
        return messages.EXIT_INVALID
    document, text = found
    response = _put(f'{url}/v1/config', text)
    if response.code == 409:
        return _print_conflict(response, document)
    if response.code != 200:
        return client.print_refusal(response)
    typer.echo(f'accepted: number {document.number}, {document.change_id}')
    if not wait:
        return 0
    return _wait_in_force(url, document.number)


def _put(url: str, text: bytes) -> httpclient.HTTPResponse:
    # A retry is safe: the change's id keeps it from being applied twice.
    for _ in range(MAX_ATTEMPTS - 1):
        response = client.fetch(url, 'PUT', text)
        if response.code not in RETRYABLE_STATUSES:
            return response
        time.sleep(RETRY_PAUSE_S)
    return client.fetch(url, 'PUT', text)


def _print_conflict(
    response: httpclient.HTTPResponse, document: model.Document
) -> int:
    conflict = json.loads(response.body)
    message = (
        f'{conflict["verdict"]}: {conflict["error"]["message"]}; submitted: '
        f'number {document.number}, {document.change_id}; '
        f'existing: number {conflict["number"]}, {conflict["change_id"]}'
    )
    return messages.print_failure(message, client.EXIT_FAILURE)


def _wait_in_force(url: str, number: int) -> int:
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    behind = ''
    while time.monotonic() < deadline_s:
        response = client.fetch(f'{url}/v1/config/status')
        if response.code == 200:
            status = json.loads(response.body)
            if status['number'] >= number and status['in_force_everywhere']:
                count = len(status['nodes'])
                typer.echo(f'in force on all {count} nodes')
                return 0
            behind = ', '.join(status['behind'])
        time.sleep(POLL_INTERVAL_S)
    return messages.print_failure(
        f'not in force everywhere after {WAIT_TIMEOUT_S} s; behind: {behind}',
        client.EXIT_FAILURE,
    )
