"""The operator's commands for the document."""

import json
import pathlib
import time

from tornado import httpclient
import typer

from filbertglade.commands import check

EXIT_FAILURE = 1
REQUEST_TIMEOUT_S = 10
WAIT_LIMIT_S = 60
WAIT_STEP_S = 0.2


def fetch(
    url: str, method: str = 'GET', body: bytes | None = None
) -> httpclient.HTTPResponse:
    """Ask the administration API.

    :param url: what to ask for.
    :param method: the HTTP method.
    :param body: the body to send.
    :returns: the response, whatever its status; 599 if there was none.
    """
    client = httpclient.HTTPClient()
    try:
        return client.fetch(
            url,
            method=method,
            body=body,
            raise_error=False,
            request_timeout=REQUEST_TIMEOUT_S,
        )
    except (OSError, ValueError) as error:
        request = httpclient.HTTPRequest(url)
        return httpclient.HTTPResponse(request, 599, reason=str(error))
    finally:
        client.close()


def show(url: str, path: str) -> int:
    """Print an answer of the administration API.

    :param url: the node's administration API.
    :param path: what to ask for.
    :returns: exit code.
    """
    response = fetch(url + path)
    if response.code != 200:
        return print_refusal(response)
    typer.echo(json.dumps(json.loads(response.body), indent=2))
    return 0


def print_refusal(response: httpclient.HTTPResponse) -> int:
    """Print an answer that is no success to standard error.

    :param response: the answer.
    :returns: exit code 1.
    """
    text = response.body.decode(errors='replace') if response.buffer else ''
    message = f'{response.code} {response.reason}'
    return check.print_failure(f'{message} {text}'.strip(), EXIT_FAILURE)


def apply(url: str, path: pathlib.Path, wait: bool) -> int:
    """Commit a document.

    :param url: the node's administration API.
    :param path: the JSON file.
    :param wait: whether to wait until it is in force everywhere.
    :returns: exit code.
    """
    code = check.check_document(path)
    if code:
        return code
    body = path.read_bytes()
    response = fetch(f'{url}/v1/config', 'PUT', body)
    if response.code != 200:
        return print_refusal(response)
    typer.echo(response.body.decode())
    if not wait:
        return 0
    return _wait_in_force(url, json.loads(response.body)['number'])


def _wait_in_force(url: str, number: int) -> int:
    end_s = time.monotonic() + WAIT_LIMIT_S
    while time.monotonic() < end_s:
        response = fetch(f'{url}/v1/config/status')
        if response.code == 200:
            status = json.loads(response.body)
            if status['number'] >= number and status['in_force_everywhere']:
                typer.echo(f'document {status["number"]} in force everywhere')
                return 0
        time.sleep(WAIT_STEP_S)
    return check.print_failure(
        f'not in force everywhere after {WAIT_LIMIT_S} s', EXIT_FAILURE
    )
