"""The command that asks an entry host where a request would go."""

import json
import typing

from tornado import httpclient
import typer

from filbertglade.commands import client
from filbertglade.commands import messages

PATH = '/v1/where'
COLUMNS = {
    'endpoint': 'endpoint',
    'group': 'group',
    'data_centre': 'data centre',
    'in_flight': 'in flight',
    'slots': 'slots',
    'backlog_ms': 'backlog ms',
    'expected_wait_ms': 'wait ms',
    'cached_tokens': 'cached tokens',
    'cold_ms': 'cold ms',
    'rating': 'rating',
}


def ask(
    host_url: str,
    method: str,
    url: str,
    headers: list[str],
    tokens: int,
    as_json: bool,
) -> int:
    """Print where a request would go now, and why.

    :param host_url: base URL of an entry host's metrics.
    :param method: the request's method.
    :param url: its URL.
    :param headers: its headers, each as in ``Name: value``.
    :param tokens: length of its prompt; 0 if unknown.
    :param as_json: print JSON in place of tables.
    :returns: exit code: 1 if nothing can be told, else 0.
    """
    pairs = []
    for header in headers:
        name, separator, value = header.partition(':')
        if not separator:
            return messages.print_failure(
                f"{header!r} is no header 'Name: value'", client.EXIT_FAILURE
            )
        pairs.append([name.strip(), value.strip()])
    call = {'method': method, 'url': url, 'headers': pairs, 'tokens': tokens}
    response = client.fetch(host_url + PATH, 'POST', json.dumps(call).encode())
    if response.code != 200:
        return messages.print_failure(
            _read_error(response), client.EXIT_FAILURE
        )
    if as_json:
        typer.echo(response.body.decode())
        return 0
    _print(json.loads(response.body))
    return 0


def _read_error(response: httpclient.HTTPResponse) -> str:
    if response.code == client.NO_RESPONSE:
        return f'no response: {response.reason}'
    try:
        return str(json.loads(response.body)['error'])
    except (ValueError, KeyError, TypeError):
        return f'{response.code} {response.reason}'


def _print(found: dict[str, typing.Any]) -> None:
    typer.echo(
        f'route {found["route"]}  customer {found["customer"] or "-"}  '
        f'service {found["service"]}  model {found["model"] or "-"}'
    )
    cost = '  '.join(
        f'{name} {value}' for name, value in found['cost'].items()
    )
    typer.echo(f'cost: {cost}')
    age_ms = found['view_age_ms']
    typer.echo(
        f'document {found["document"]}  '
        f'frame of {"-" if age_ms is None else age_ms} ms ago  '
        f'deadline in {found["remaining_ms"]} ms'
    )
    if found['is_sent']:
        chosen = next(
            item['endpoint'] for item in found['targets'] if item['is_chosen']
        )
        admitted = ''.join(
            f'  {name} {value}' for name, value in found['admitted'].items()
        )
        typer.echo(f'sent to {chosen} as {found["admission_class"]}{admitted}')
    else:
        typer.echo(
            f'refused: {found["reason"]}; '
            f'retry after {found["retry_after_s"]} s'
        )
    rows = [[*COLUMNS.values(), 'ruled out']]
    for item in found['targets']:
        verdict = 'chosen' if item['is_chosen'] else item['ruled_out']
        rows.append([*(_render(item[name]) for name in COLUMNS), verdict])
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    typer.echo(f'targets ({len(found["targets"])} of {found["target_count"]})')
    for row in rows:
        cells = zip(row, widths, strict=True)
        line = '  '.join(cell.ljust(width) for cell, width in cells)
        typer.echo(f'  {line}'.rstrip())


def _render(value: object) -> str:
    return '-' if value is None or value == '' else str(value)
