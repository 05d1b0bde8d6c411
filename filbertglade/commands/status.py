"""The command that prints the state of the cluster."""

import typing

import typer

from filbertglade.commands import client
from filbertglade.commands import config

TABLES = {
    'evacuations': ('data_centre', 'since_index', 'lasted_ms', 'until'),
    'unserved': ('deployment', 'evacuated', 'until'),
    'voters': ('name', 'incarnation', 'match_index', 'counts', 'reply_age_ms'),
    'nodes': (
        'name',
        'data_centre',
        'configuration_number',
        'draining',
        'age_ms',
    ),
    'groups': ('name', 'epoch', 'deployment', 'phase', 'hosts'),
    'hosts': (
        'name',
        'fabric_domain',
        'service',
        'group',
        'epoch',
        'ready',
        'leaving',
        'present',
    ),
    'customers': ('name', 'requests_per_s'),
}


def show_status(url: str, as_json: bool) -> int:
    """Print the cluster's state.

    :param url: base URL of a node's administration API.
    :param as_json: print JSON in place of tables.
    :returns: exit code: 1 if the state could not be fetched, else 0.
    """
    if as_json:
        return config.show(url, '/v1/status')
    status = client.fetch_json(f'{url}/v1/status')
    if status is None:
        return client.EXIT_FAILURE
    current = status['configuration']
    typer.echo(
        f'leader {status["leader"]}  term {status["term"]}  '
        f'configuration {current["number"]} {current["change_id"]}'.rstrip()
    )
    typer.echo(f'losses left: {status["losses_left"]}')
    if status['silent_nodes']:
        typer.echo(f'silent nodes: {_render(status["silent_nodes"])}')
    if status['deployments_without_group']:
        unserved = _render(status['deployments_without_group'])
        typer.echo(f'evacuated, without another group: {unserved}')
    for title, columns in TABLES.items():
        typer.echo('')
        # Leaders of earlier releases don't render all tables.
        _print_table(title, columns, status.get(title, []))
    return 0


def _print_table(
    title: str, columns: tuple[str, ...], rows: list[dict[str, typing.Any]]
) -> None:
    cells = [list(columns)]
    cells += [[_render(row[column]) for column in columns] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    typer.echo(f'{title} ({len(rows)})')
    for row in cells:
        line = '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        typer.echo(f'  {line}'.rstrip())


def _render(value: object) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list):
        return ','.join(str(item) for item in value)
    return str(value) or '-'
