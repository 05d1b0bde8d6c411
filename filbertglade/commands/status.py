"""The operator's view of the cluster."""

import json

import typer

from filbertglade.commands import config


def show_status(url: str, as_json: bool) -> int:
    """Print the cluster's state.

    :param url: a node's administration API.
    :param as_json: print JSON in place of tables.
    :returns: exit code.
    """
    if as_json:
        return config.show(url, '/v1/status')
    response = config.fetch(f'{url}/v1/status')
    if response.code != 200:
        return config.print_refusal(response)
    status = json.loads(response.body)
    typer.echo(f'leader {status["leader"]}  term {status["term"]}')
    for title, columns in (
        ('nodes', ('name', 'data_centre', 'configuration_number', 'age_ms')),
        ('groups', ('name', 'epoch', 'deployment', 'phase', 'hosts')),
        ('hosts', ('name', 'fabric_domain', 'service', 'group', 'present')),
    ):
        typer.echo('')
        _print_table(title, columns, status[title])
    return 0


def _print_table(
    title: str, columns: tuple[str, ...], rows: list[dict[str, object]]
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
    if isinstance(value, list):
        return ','.join(str(item) for item in value)
    return str(value)
