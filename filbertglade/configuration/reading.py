"""Reading of JSON text as strictly as the documents need it."""

import json
import typing

from filbertglade import schema


class RepeatingObject(dict[str, typing.Any]):
    """A JSON object in which a key stands twice.

    :ivar repeated: the keys that do.
    """

    def __init__(self, pairs: list[tuple[str, typing.Any]]) -> None:
        super().__init__(pairs)
        keys = [key for key, _ in pairs]
        self.repeated = sorted({key for key in keys if keys.count(key) > 1})


def read_json(text: bytes) -> tuple[object, list[schema.Problem]]:
    """Read JSON text; refuse what the standard doesn't have.

    :param text: UTF-8 text.
    :returns: the data, or None, and the problems found.
    """
    try:
        data = json.loads(
            text.decode('utf-8'),
            object_pairs_hook=_build_object,
            parse_constant=_refuse_constant,
        )
    except RecursionError:
        return None, [schema.Problem(schema.WHOLE, 'nested too deeply')]
    except ValueError as error:
        message = f'not valid JSON: {error}'
        return None, [schema.Problem(schema.WHOLE, message)]
    problems: list[schema.Problem] = []
    _find_repeated(data, (), problems)
    return data, problems


def _build_object(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    built = dict(pairs)
    return built if len(built) == len(pairs) else RepeatingObject(pairs)


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is no number')


def _find_repeated(
    data: object, location: schema.Location, problems: list[schema.Problem]
) -> None:
    if isinstance(data, RepeatingObject):
        for key in data.repeated:
            path = schema.key_path((*location, key))
            problems.append(schema.Problem(path, 'key stands twice'))
    if isinstance(data, dict):
        for key, value in data.items():
            _find_repeated(value, (*location, key), problems)
    elif isinstance(data, list):
        for position, value in enumerate(data):
            _find_repeated(value, (*location, position), problems)
