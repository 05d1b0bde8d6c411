"""The command line: parses the arguments and calls the commands."""

import pathlib
import typing

import typer

from filbertglade import start

app = typer.Typer(
    name='filbertglade',
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help='Serve models whose every replica spans several hosts.',
)
config_app = typer.Typer(
    no_args_is_help=True, help="Show and change the operators' document."
)
app.add_typer(config_app, name='config')

evacuate_app = typer.Typer(no_args_is_help=True, help='Evacuate data centres.')
app.add_typer(evacuate_app, name='evacuate')

SettingsPath = typing.Annotated[
    pathlib.Path, typer.Option('--settings', help='The TOML settings file.')
]
AdministrationUrl = typing.Annotated[
    str,
    typer.Option(
        '--url',
        envvar='FILBERTGLADE_URL',
        help="A node's administration API.",
    ),
]
DEFAULT_URL = 'http://127.0.0.1:8081'


@app.command()
def node(settings: SettingsPath) -> None:
    """Run a node until it receives SIGTERM or SIGINT."""
    from filbertglade.commands import node as command

    raise typer.Exit(command.run_node(settings))


@app.command()
def gateway(
    settings: typing.Annotated[
        pathlib.Path,
        typer.Option('--settings', help="The gateway's TOML settings file."),
    ],
) -> None:
    """Run a process that routes plain HTTP requests to endpoints."""
    raise typer.Exit(start.start_gateway(settings))


@app.command('init-control')
def init_control(settings: SettingsPath) -> None:
    """Initialise an empty data folder for a founding voter, once."""
    from filbertglade.commands import init_control as command

    raise typer.Exit(command.init_control(settings))


@app.command('check-settings')
def check_settings(path: pathlib.Path) -> None:
    """Check a settings file and print every error."""
    from filbertglade.commands import check as command

    raise typer.Exit(command.check_settings(path))


@app.command('check-config')
def check_config(path: pathlib.Path) -> None:
    """Check a document and print every error."""
    from filbertglade.commands import check as command

    raise typer.Exit(command.check_document(path))


@config_app.command('show')
def show_config(url: AdministrationUrl = DEFAULT_URL) -> None:
    """Print the document in force."""
    from filbertglade.commands import config as command

    raise typer.Exit(command.show(url, '/v1/config'))


@config_app.command('status')
def show_config_status(url: AdministrationUrl = DEFAULT_URL) -> None:
    """Print the document's number on each node."""
    from filbertglade.commands import config as command

    raise typer.Exit(command.show(url, '/v1/config/status'))


@config_app.command('history')
def show_config_history(url: AdministrationUrl = DEFAULT_URL) -> None:
    """Print the accepted changes."""
    from filbertglade.commands import config as command

    raise typer.Exit(command.show(url, '/v1/config/history'))


@config_app.command('apply')
def apply_config(
    path: pathlib.Path,
    url: AdministrationUrl = DEFAULT_URL,
    wait: typing.Annotated[
        bool, typer.Option(help='Wait until it is in force on all nodes.')
    ] = False,
) -> None:
    """Commit a document."""
    from filbertglade.commands import config as command

    raise typer.Exit(command.apply(url, path, wait))


@evacuate_app.command('start')
def start_evacuation(name: str, url: AdministrationUrl = DEFAULT_URL) -> None:
    """Send no more requests to a data centre."""
    from filbertglade.commands import evacuate as command

    raise typer.Exit(command.send_order(url, name, 'start'))


@evacuate_app.command('end')
def end_evacuation(name: str, url: AdministrationUrl = DEFAULT_URL) -> None:
    """Send requests to a data centre again."""
    from filbertglade.commands import evacuate as command

    raise typer.Exit(command.send_order(url, name, 'end'))


@evacuate_app.command('list')
def list_evacuations(url: AdministrationUrl = DEFAULT_URL) -> None:
    """Print the evacuations in force."""
    from filbertglade.commands import evacuate as command

    raise typer.Exit(command.list_evacuations(url))


@app.command()
def status(
    url: AdministrationUrl = DEFAULT_URL,
    as_json: typing.Annotated[
        bool, typer.Option('--json', help='Print JSON.')
    ] = False,
) -> None:
    """Print nodes, groups and hosts."""
    from filbertglade.commands import status as command

    raise typer.Exit(command.show_status(url, as_json))


@app.command()
def standin(
    entry: typing.Annotated[
        list[str], typer.Option(help='URLs of the entry nodes to announce to.')
    ],
    hosts: typing.Annotated[int, typer.Option(help='Number of hosts.')] = 4,
    fabric_domain: typing.Annotated[
        str, typer.Option(help='Fabric domain of the hosts.')
    ] = 'fabric-1',
    region: typing.Annotated[str, typer.Option()] = 'central',
    data_centre: typing.Annotated[str, typer.Option()] = 'north',
    prefix: typing.Annotated[
        str, typer.Option(help="Prefix of the hosts' names.")
    ] = 'host',
    service: typing.Annotated[
        str,
        typer.Option(
            help='Name of a plain service to run in place of engines.'
        ),
    ] = '',
    slots: typing.Annotated[
        int, typer.Option(help='Requests that an engine runs concurrently.')
    ] = 8,
    token_ms: typing.Annotated[
        float, typer.Option(help='Time to generate one token.')
    ] = 5.0,
    load_ms: typing.Annotated[
        int, typer.Option(help="Time to load a model's weights.")
    ] = 200,
    prefill_ms: typing.Annotated[
        float, typer.Option(help='Time to process one uncached prompt block.')
    ] = 0.0,
    cache_blocks: typing.Annotated[
        int, typer.Option(help='Prompt blocks that an engine caches.')
    ] = 1024,
    event_lag_ms: typing.Annotated[
        int, typer.Option(help='Age at which cache events are published.')
    ] = 0,
    event_loss: typing.Annotated[
        float, typer.Option(help='Fraction of the cache events that are lost.')
    ] = 0.0,
    load_lag_ms: typing.Annotated[
        int, typer.Option(help='Age of a load report.')
    ] = 0,
    slow_hosts: typing.Annotated[
        int, typer.Option(help='Number of hosts that are stragglers.')
    ] = 0,
    slow_factor: typing.Annotated[
        float, typer.Option(help='Factor by which stragglers are slower.')
    ] = 1.0,
    seed: typing.Annotated[
        int, typer.Option(help='Seed of the random numbers.')
    ] = 0,
    ignore_fencing: typing.Annotated[
        bool, typer.Option(help='Do not check fencing numbers.')
    ] = False,
    record: typing.Annotated[
        str,
        typer.Option(
            help='File for received orders and requests, as JSON lines.'
        ),
    ] = '',
    crash_marker: typing.Annotated[
        str, typer.Option(help='Text in a request body that crashes the host.')
    ] = '',
) -> None:
    """Run stand-ins for endpoints, for trials of the system."""
    from filbertglade.commands import standin as command
    from filbertglade.standin import settings as standin_settings

    settings = standin_settings.StandinSettings(
        entries=entry,
        hosts=hosts,
        fabric_domain=fabric_domain,
        region=region,
        data_centre=data_centre,
        prefix=prefix,
        service=service,
        slots=slots,
        token_ms=token_ms,
        load_ms=load_ms,
        prefill_ms=prefill_ms,
        cache_blocks=cache_blocks,
        event_lag_ms=event_lag_ms,
        event_loss=event_loss,
        load_lag_ms=load_lag_ms,
        slow_hosts=slow_hosts,
        slow_factor=slow_factor,
        seed=seed,
        checks_fencing=not ignore_fencing,
        record_file=record,
        crash_marker=crash_marker,
    )
    raise typer.Exit(command.run_standin(settings))


@app.command()
def explain(
    request: typing.Annotated[str, typer.Argument(help="The request's id.")],
    paths: typing.Annotated[
        list[pathlib.Path], typer.Argument(help='Log files.')
    ],
) -> None:
    """Explain from the logs of all processes why a request ended as it did."""
    from filbertglade.commands import explain as command

    raise typer.Exit(command.explain_request(request, paths))


@app.command()
def where(
    method: typing.Annotated[str, typer.Argument(help='As in POST.')],
    request_url: typing.Annotated[
        str,
        typer.Argument(metavar='URL', help='The URL as callers address it.'),
    ],
    header: typing.Annotated[
        list[str] | None,
        typer.Option(help="A header of the request, as 'Name: value'."),
    ] = None,
    tokens: typing.Annotated[
        int, typer.Option(min=0, help='Tokens of the prompt.')
    ] = 0,
    url: typing.Annotated[
        str,
        typer.Option(
            '--url',
            envvar='FILBERTGLADE_URL',
            help="The metrics address of a gateway's entry host.",
        ),
    ] = DEFAULT_URL,
    as_json: typing.Annotated[
        bool, typer.Option('--json', help='Print JSON.')
    ] = False,
) -> None:
    """Ask an entry host where a request would go now, without sending it."""
    from filbertglade.commands import where as command

    raise typer.Exit(
        command.ask(url, method, request_url, header or [], tokens, as_json)
    )


@app.command()
def report(
    paths: typing.Annotated[
        list[pathlib.Path], typer.Argument(help='Log files.')
    ],
    objective: typing.Annotated[
        list[str] | None,
        typer.Option(
            help='ROUTE=MS or ROUTE=MS/PAUSE_MS: longest time until the '
            'first byte of its answers, and longest pause in them.'
        ),
    ] = None,
    interval_s: typing.Annotated[
        float, typer.Option(min=0.1, help='Length of an interval, in s.')
    ] = 1.0,
    as_json: typing.Annotated[
        bool, typer.Option('--json', help='Print JSON.')
    ] = False,
    plot: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Draw a picture; needs the extra 'plots'."),
    ] = None,
) -> None:
    """Report from the logs of all processes how requests ended, and why."""
    from filbertglade.commands import report as command

    raise typer.Exit(
        command.show_report(paths, objective or [], interval_s, as_json, plot)
    )


@app.command()
def timeline(
    paths: typing.Annotated[
        list[pathlib.Path], typer.Argument(help='Log files.')
    ],
    html: typing.Annotated[
        pathlib.Path | None, typer.Option(help='Write one HTML page.')
    ] = None,
    event: typing.Annotated[
        list[str] | None,
        typer.Option(help="Only events whose names start so, as 'leader'."),
    ] = None,
) -> None:
    """Merge the logs of many processes into one timeline."""
    from filbertglade.commands import timeline as command

    raise typer.Exit(command.show_timeline(paths, event or [], html))


def main() -> None:
    """Run the command line."""
    app()
