"""Decoding of data into data classes, with a list of all problems.

A schema is a data class with annotated fields. Each unknown key, wrong type
and value out of range is reported as a problem with the path of its key.
"""

from collections import abc
import copy
import dataclasses
import json
import typing

import pydantic

Model = typing.TypeVar('Model')

Location = tuple[int | str, ...]

# The ``__pydantic_config__`` of every class of a strict schema.
STRICT: pydantic.ConfigDict = {
    'extra': 'forbid',
    'strict': True,
    'allow_inf_nan': False,
}

ROOT_KEY = '(document)'
MESSAGE_PREFIX = 'Value error, '
# Values that replace an invalid value without a default: one for each type of
# value in schemas. The texts have their own prefix, so that problems that
# mention a placeholder can be recognised and left out.
PLACEHOLDER_NAME = 'placeholder-'
PLACEHOLDER_HOST = '127.255.255.'
PLACEHOLDERS: tuple[abc.Callable[[int], object], ...] = (
    lambda number: f'{PLACEHOLDER_NAME}{number}',
    lambda number: f'{PLACEHOLDER_HOST}{number % 256}:{number % 65_535 + 1}',
    lambda number: f'{number:064x}',
    lambda number: 1,
    lambda number: [],
    lambda number: {},
)


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """An error in the data, or a warning about it.

    :param key: path of the key, as in ``listen.callers``.
    :param message: description of the error or warning.
    """

    key: str
    message: str

    def __str__(self) -> str:
        return f'{self.key}: {self.message}'


_adapters: dict[type, pydantic.TypeAdapter[typing.Any]] = {}


def _get_adapter(model: type) -> pydantic.TypeAdapter[typing.Any]:
    adapter = _adapters.get(model)
    if adapter is None:
        adapter = pydantic.TypeAdapter(model)
        _adapters[model] = adapter
    return adapter


def decode(
    model: type[Model], data: object
) -> tuple[Model | None, list[Problem]]:
    """Decode data and check it against a schema.

    :param model: the data class that declares the schema.
    :param data: parsed TOML or JSON.
    :returns: the object, or None if there are problems; and the problems.
    """
    found, problems, _ = _decode(model, data)
    return found, problems


def decode_text(
    model: type[Model], text: bytes
) -> tuple[Model | None, list[Problem]]:
    """Decode JSON text and check it against a schema.

    :param model: the data class that declares the schema.
    :param text: the text.
    :returns: the object, or None if there are problems; and the problems.
    """
    found, problems, _ = _decode_text(model, text)
    return found, problems


def decode_list(
    model: type[Model], items: list[object], path: str, start: int
) -> tuple[list[Model] | None, list[Problem]]:
    """Decode a part of a list and check it against a schema.

    :param model: the data class that declares the schema of an item.
    :param items: parsed TOML or JSON of some items.
    :param path: key path of the list.
    :param start: position of the first item in the list.
    :returns: the objects, or None if there are problems; and the problems.
    """
    list_type: typing.Any = list[model]  # type: ignore[valid-type]
    found, problems, locations = _decode(list_type, items)
    if found is not None:
        return found, []
    return None, [
        Problem(key_path((path, *_shift(location, start))), problem.message)
        for problem, location in zip(problems, locations, strict=True)
    ]


def _shift(location: Location, start: int) -> Location:
    """Return a location in a list whose part begins at a position."""
    if not location or not isinstance(location[0], int):
        return location
    return (location[0] + start, *location[1:])


def decode_with_placeholders(
    model: type[Model], data: object
) -> tuple[Model | None, list[Problem]]:
    """Decode data and check it against a schema, in spite of problems.

    Unknown keys are removed, and invalid values are replaced by their
    defaults or by placeholders. With the object, the checks that involve
    several keys can run too, so that all problems are reported together.

    :param model: the data class that declares the schema.
    :param data: parsed TOML or JSON.
    :returns: the object, or None if the data can't be made to conform; and
        the problems found.
    """
    found, problems, locations = _decode(model, data)
    if found is not None or () in locations:
        return found, problems
    data = copy.deepcopy(data)
    for location in locations:
        _remove(data, location)
    for make_placeholder in PLACEHOLDERS:
        found, _, locations = _decode(model, data)
        if found is not None or () in locations:
            break
        for number, location in enumerate(locations, 1):
            _put(data, location, make_placeholder(number))
    else:
        found, _, _ = _decode(model, data)
    return found, problems


def _decode(
    model: type[Model], data: object
) -> tuple[Model | None, list[Problem], list[Location]]:
    # In strict mode, pydantic accepts an object for a data class only from
    # JSON input.
    text = json.dumps(data, default=_encode_unsupported)
    return _decode_text(model, text)


def _decode_text(
    model: type[Model], text: str | bytes
) -> tuple[Model | None, list[Problem], list[Location]]:
    try:
        return _get_adapter(model).validate_json(text), [], []
    except pydantic.ValidationError as error:
        items = error.errors(include_url=False, include_input=False)
        problems = [
            Problem(key_path(item['loc']), _message(item)) for item in items
        ]
        return None, problems, [item['loc'] for item in items]


def _encode_unsupported(_: object) -> list[object]:
    # TOML dates and times are not used in any schema. An empty list is invalid
    # where a single value is expected, so they are reported as problems.
    return []


def _remove(data: typing.Any, location: Location) -> None:
    container = _find_container(data, location)
    if isinstance(container, dict):
        container.pop(location[-1], None)


def _put(data: typing.Any, location: Location, value: object) -> None:
    container = _find_container(data, location)
    if not isinstance(container, dict | list):
        return
    changed: typing.Any = container
    changed[location[-1]] = value


def _find_container(data: typing.Any, location: Location) -> object:
    for part in location[:-1]:
        try:
            data = data[part]
        except (KeyError, IndexError, TypeError):
            return None
    return data


def key_path(location: Location) -> str:
    """Return a key's path in readable form, as in ``hosts[0].name``.

    :param location: the keys and list positions that lead to it.
    """
    path = ''
    for part in location:
        if isinstance(part, int):
            path += f'[{part}]'
        else:
            path += f'.{part}' if path else part
    return path or ROOT_KEY


def _message(item: typing.Any) -> str:
    kind = item['type']
    if kind in ('unexpected_keyword_argument', 'extra_forbidden'):
        return 'unknown key'
    if kind in ('missing', 'missing_argument'):
        return 'required key is missing'
    text = str(item['msg']).removeprefix(MESSAGE_PREFIX)
    return text[:1].lower() + text[1:]


def merge_problems(
    first: list[Problem], second: list[Problem]
) -> list[Problem]:
    """Merge problems of single keys with those that involve several keys.

    :param first: problems of single keys.
    :param second: problems that involve several keys; those that concern a
        key of the first list, a key above or below it, or a placeholder are
        left out.
    :returns: the first list, followed by the rest of the second.
    """
    named = [problem.key for problem in first]
    kept = [
        problem
        for problem in second
        if not any(_overlap(problem.key, key) for key in named)
        and PLACEHOLDER_NAME not in problem.message
        and PLACEHOLDER_HOST not in problem.message
    ]
    return first + kept


def _overlap(one: str, other: str) -> bool:
    shorter, longer = sorted((one, other), key=len)
    return longer == shorter or longer.startswith(
        (f'{shorter}.', f'{shorter}[')
    )


def find_duplicates(names: list[str], path: str, key: str) -> list[Problem]:
    """Find duplicate names in a list.

    :param names: the names, in the list's order.
    :param path: key path of the list.
    :param key: the key of the name in each item; empty if the items are the
        names.
    :returns: a problem for each duplicate.
    """
    seen: set[str] = set()
    problems = []
    for position, name in enumerate(names):
        if name in seen:
            where = f'{path}[{position}]'
            where += f'.{key}' if key else ''
            problems.append(Problem(where, f'duplicate name {name!r}'))
        seen.add(name)
    return problems
