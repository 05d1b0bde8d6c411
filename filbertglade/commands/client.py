"""Client of the administration API for the commands."""

import json
import os
import typing

from tornado import httpclient

from filbertglade.commands import messages

EXIT_FAILURE = 1
REQUEST_TIMEOUT_S = 15
KEY_VARIABLE = 'FILBERTGLADE_KEY'
NO_RESPONSE = 599


def fetch(
    url: str, method: str = 'GET', body: bytes | None = None
) -> httpclient.HTTPResponse:
    """Send a request to the administration API.

    The operators' key, if one is set, is read from the environment and not
    from an argument, so that it does not appear in process lists.

    :param url: URL of the resource.
    :param method: the HTTP method.
    :param body: the body to send.
    :returns: the response, whatever its status; status 599 if none arrived.
    """
    key = os.environ.get(KEY_VARIABLE, '')
    headers = {'Authorization': f'Bearer {key}'} if key else {}
    client = httpclient.HTTPClient()
    try:
        return client.fetch(
            url,
            method=method,
            body=body,
            headers=headers,
            raise_error=False,
            request_timeout=REQUEST_TIMEOUT_S,
        )
    except (OSError, ValueError) as error:
        request = httpclient.HTTPRequest(url)
        return httpclient.HTTPResponse(request, NO_RESPONSE, reason=str(error))
    finally:
        client.close()


def fetch_json(url: str) -> dict[str, typing.Any] | None:
    """Fetch an object from the administration API; print any failure.

    :param url: URL of the resource.
    :returns: the object, or None if a failure was printed.
    """
    response = fetch(url)
    if response.code != 200:
        print_refusal(response)
        return None
    found: dict[str, typing.Any] = json.loads(response.body)
    return found


def print_refusal(response: httpclient.HTTPResponse) -> int:
    """Print an unsuccessful response to standard error.

    :param response: the response.
    :returns: exit code: 2 if the document is invalid, else 1.
    """
    if response.code == NO_RESPONSE:
        message = f'no response: {response.reason}'
        return messages.print_failure(message, EXIT_FAILURE)
    text = response.body.decode(errors='replace')
    try:
        error = json.loads(text)['error']
        problems = error.get('problems', [])
        text = f'{error["type"]}: {error["message"]}'
    except (ValueError, KeyError, TypeError, AttributeError):
        problems = []
    messages.print_failure(f'{response.code} {text}'.strip(), EXIT_FAILURE)
    for problem in problems:
        messages.print_failure(
            f'{problem["key"]}: {problem["message"]}', messages.EXIT_INVALID
        )
    return messages.EXIT_INVALID if problems else EXIT_FAILURE
