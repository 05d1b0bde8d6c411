"""Structured logs: one line for each change of state.

Lines are eliot messages in JSON. Each names the process that wrote it, so
that ``filbertglade timeline`` can merge the logs of many processes.
"""

import os
import pathlib
import typing

import eliot
import orjson

# Value of ``buffering`` by which ``open`` flushes after each line.
LINE_BUFFERED = 1
# Fields that describe the writer on every line; an event's own field with
# one of these names gets the prefix ``event_``.
RESERVED_FIELDS = frozenset(
    ('node', 'data_centre', 'process', 'module', 'level')
)

# Events of successful requests; the first to be dropped when the queue of
# log lines is long.
ORDINARY_EVENTS = frozenset(('request.sent', 'request.answered'))

_process: dict[str, str] = {}


class Log:
    """A module's log."""

    def __init__(self, module: str) -> None:
        self._module = module

    def change(self, event: str, **fields: object) -> None:
        """Log a change of state.

        :param event: dotted name of the event, as in ``leader.elected``.
        :param fields: details of the event; never a secret.
        """
        self._write(event, 'change', fields)

    def error(self, event: str, **fields: object) -> None:
        """Log an unexpected failure.

        :param event: dotted name of the event.
        :param fields: details of the event; never a secret.
        """
        self._write(event, 'error', fields)

    def request(self, event: str, request_id: str, **fields: object) -> None:
        """Log a decision about one request.

        :param event: dotted name of the event.
        :param request_id: id of the request.
        :param fields: the inputs of the decision with their age or version;
            never a secret.
        """
        self._write(event, 'request', {'request': request_id, **fields})

    def _write(
        self, event: str, level: str, fields: dict[str, object]
    ) -> None:
        plain = {
            f'event_{name}'
            if name in RESERVED_FIELDS
            else name: _to_json_value(value)
            for name, value in fields.items()
        }
        eliot.log_message(
            event,
            level=level,
            module=self._module,
            **_process,
            **plain,
        )


def _to_json_value(value: object) -> object:
    if value is None or isinstance(value, bool | int | float | str):
        return value
    if isinstance(value, list | tuple):
        return [_to_json_value(item) for item in value]
    if isinstance(value, dict):
        return {
            str(name): _to_json_value(item) for name, item in value.items()
        }
    if isinstance(value, BaseException):
        return f'{type(value).__name__}: {value}'
    return str(value)


def get_log(module: str) -> Log:
    """Return the log of a module.

    :param module: the module's ``__name__``.
    :returns: its log.
    """
    return Log(module)


def open_bounded_log(
    node: str, data_centre: str, writer: typing.Callable[[bytes, bool], None]
) -> None:
    """Send the process's log to a writer that never blocks.

    :param node: name of the node, put on every line.
    :param data_centre: its data centre, put on every line.
    :param writer: called with each line and with whether the line may be
        dropped before others.
    """
    _process['node'] = node
    _process['data_centre'] = data_centre
    _process['process'] = str(os.getpid())

    def write(message: dict[str, object]) -> None:
        message.pop('task_uuid', None)
        message.pop('task_level', None)
        is_ordinary = message.get('message_type') in ORDINARY_EVENTS
        writer(orjson.dumps(message, default=str) + b'\n', is_ordinary)

    eliot.add_destinations(write)


def open_log(node: str, data_centre: str, path: pathlib.Path | None) -> None:
    """Send the process's log to a file, or to standard error.

    :param node: name of the node, put on every line.
    :param data_centre: its data centre, put on every line.
    :param path: the file, appended to; None for standard error.
    :raises OSError: the file can't be opened.
    """
    _process['node'] = node
    _process['data_centre'] = data_centre
    _process['process'] = str(os.getpid())
    stream: typing.Any
    if path is None:
        stream = open(2, 'a', closefd=False)
    else:
        path.parent.mkdir(parents=True, exist_ok=True)
        stream = open(path, 'a', buffering=LINE_BUFFERED)
    eliot.to_file(stream)
