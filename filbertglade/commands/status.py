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
    'cold_endpoints': ('id', 'remaining_ms', 'permits_per_s'),
}

LISTS = {
    'silent_nodes': 'silent nodes',
    'deployments_without_group': 'evacuated, without another group',
    'models_without_group': 'evacuated, without another group',
}


def show_status(url: str, as_json: bool) -> int:
    """Print the cluster's state.

    :param url: base URL of a node's administration API, or of a gateway's
        control host.
    :param as_json: print JSON in place of tables.
    :returns: exit code: 1 if the state could not be fetched, else 0.
    """
    if as_json:
        return config.show(url, '/v1/status')
    status = client.fetch_json(f'{url}/v1/status')
    if status is None:
        return client.EXIT_FAILURE
    typer.echo(
        f'leader {status["leader"]}  term {status["term"]}  '
        f'{_describe_configuration(status)}'.rstrip()
    )
    typer.echo(f'losses left: {status["losses_left"]}')
    for field, text in LISTS.items():
        if status.get(field):
            typer.echo(f'{text}: {_render(status[field])}')
    # Gateways and leaders of earlier releases don't render all tables.
    for title, columns in TABLES.items():
        if title in status:
            typer.echo('')
            _print_table(title, columns, status[title])
    return 0


def _describe_configuration(status: dict[str, typing.Any]) -> str:
    if 'document_version' in status:
        version = status['document_version']
        return 'no document' if version is None else f'document {version}'
    current = status['configuration']
    return f'configuration {current["number"]} {current["change_id"]}'


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
