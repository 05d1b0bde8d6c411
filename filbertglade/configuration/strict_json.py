"""JSON parsing that rejects duplicate keys and non-standard constants."""

import json
import typing

from filbertglade import schema


class ObjectWithDuplicateKeys(dict[str, typing.Any]):
    """A JSON object that contains a key more than once.

    :ivar duplicate_keys: these keys, sorted.
    """

    def __init__(self, pairs: list[tuple[str, typing.Any]]) -> None:
        super().__init__(pairs)
        keys = [key for key, _ in pairs]
        self.duplicate_keys = sorted(
            {key for key in keys if keys.count(key) > 1}
        )


def parse_json(text: bytes) -> tuple[object, list[schema.Problem]]:
    """Parse JSON text strictly.

    :param text: UTF-8 text.
    :returns: the data, or None if it is not JSON; and the problems found.
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
