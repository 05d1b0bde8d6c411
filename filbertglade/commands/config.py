"""The operator's commands for the document."""

import json
import pathlib
import time

from tornado import httpclient
import typer

from filbertglade.commands import check
from filbertglade.commands import client
from filbertglade.configuration import model

TRIES = 5
RETRY_PAUSE_S = 0.5
WAIT_LIMIT_S = 60
WAIT_STEP_S = 0.1
TRY_AGAIN = (client.NO_ANSWER, 503, 504)


def show(url: str, path: str) -> int:
    """Print an answer of the administration API.

    :param url: the node's administration API.
    :param path: what to ask for.
    :returns: exit code.
    """
    found = client.fetch_json(url + path)
    if found is None:
        return client.EXIT_FAILURE
    typer.echo(json.dumps(found, indent=2))
    return 0


def apply(url: str, path: pathlib.Path, wait: bool) -> int:
    """Commit a document.

    :param url: the node's administration API.
    :param path: the JSON file.
    :param wait: whether to wait until it is in force everywhere.
    :returns: exit code: 0 if it was accepted, 1 if not or if that is not
        known, 2 if the document is wrong.
    """
    found = check.read_document(path)
    if found is None:
        return check.EXIT_INVALID
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
    # The change's identity makes a resend safe.
    for _ in range(TRIES - 1):
        response = client.fetch(url, 'PUT', text)
        if response.code not in TRY_AGAIN:
            return response
        time.sleep(RETRY_PAUSE_S)
    return client.fetch(url, 'PUT', text)


def _print_conflict(
    response: httpclient.HTTPResponse, document: model.Document
) -> int:
    answer = json.loads(response.body)
    message = (
        f'{answer["verdict"]}: {answer["error"]["message"]}; yours is number '
        f'{document.number}, {document.change_id}; there is number '
        f'{answer["number"]}, {answer["change_id"]}'
    )
    return check.print_failure(message, client.EXIT_FAILURE)


def _wait_in_force(url: str, number: int) -> int:
    end_s = time.monotonic() + WAIT_LIMIT_S
    behind = ''
    while time.monotonic() < end_s:
        response = client.fetch(f'{url}/v1/config/status')
        if response.code == 200:
            status = json.loads(response.body)
            if status['number'] >= number and status['in_force_everywhere']:
                count = len(status['nodes'])
                typer.echo(f'in force on all {count} nodes')
                return 0
            behind = ', '.join(status['behind'])
        time.sleep(WAIT_STEP_S)
    return check.print_failure(
        f'not in force everywhere after {WAIT_LIMIT_S} s; behind: {behind}',
        client.EXIT_FAILURE,
    )
