"""Reading of JSON text as strictly as the documents need it."""

import json
import typing

from filbertglade import schema


class ObjectWithDuplicateKeys(dict[str, typing.Any]):
    """A JSON object in which a key stands twice.

    :ivar duplicate_keys: the keys that do.
    """

    def __init__(self, pairs: list[tuple[str, typing.Any]]) -> None:
        super().__init__(pairs)
        keys = [key for key, _ in pairs]
        self.duplicate_keys = sorted(
            {key for key in keys if keys.count(key) > 1}
        )


def parse_json(text: bytes) -> tuple[object, list[schema.Problem]]:
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
        return None, [schema.Problem(schema.ROOT_KEY, 'nested too deeply')]
    except ValueError as error:
        message = f'not valid JSON: {error}'
        return None, [schema.Problem(schema.ROOT_KEY, message)]
    problems: list[schema.Problem] = []
    _find_duplicate_keys(data, (), problems)
    return data, problems


def _build_object(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    built = dict(pairs)
    return (
        built if len(built) == len(pairs) else ObjectWithDuplicateKeys(pairs)
    )


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is no number')


def _find_duplicate_keys(
    data: object, location: schema.Location, problems: list[schema.Problem]
) -> None:
    if isinstance(data, ObjectWithDuplicateKeys):
        for key in data.duplicate_keys:
            path = schema.key_path((*location, key))
            problems.append(schema.Problem(path, 'key stands twice'))
    if isinstance(data, dict):
        for key, value in data.items():
            _find_duplicate_keys(value, (*location, key), problems)
    elif isinstance(data, list):
        for position, value in enumerate(data):
            _find_duplicate_keys(value, (*location, position), problems)
