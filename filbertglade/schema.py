"""Decoding of declared data that gathers every problem with its key.

A schema is a data class whose fields are annotated; an unknown key, a wrong
type and a value out of bounds are each a problem of their own.
"""

from collections import abc
import copy
import dataclasses
import json
import typing

import pydantic

Model = typing.TypeVar('Model')

Location = tuple[int | str, ...]

# Set as ``__pydantic_config__`` on every class of a schema.
STRICT: pydantic.ConfigDict = {
    'extra': 'forbid',
    'strict': True,
    'allow_inf_nan': False,
}

ROOT_KEY = '(document)'
MESSAGE_PREFIX = 'Value error, '
# What stands for a faulty value that has no default, by the kinds of values
# that schemas hold; texts begin so, that problems which name one are known.
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
    """One thing wrong with the data, or worth a warning.

    :param key: path of the key, as in ``listen.callers``.
    :param message: what is wrong with its value.
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
    """Check data against a schema.

    :param model: the data class that declares the schema.
    :param data: what a TOML or JSON reader gave.
    :returns: the object, or None, and the problems found.
    """
    found, problems, _ = _decode(model, data)
    return found, problems


def decode_with_placeholders(
    model: type[Model], data: object
) -> tuple[Model | None, list[Problem]]:
    """Check data against a schema, and make an object of it all the same.

    Checks that span several keys can so be made in the same run: unknown
    keys are left out, faulty values replaced by their defaults or by
    placeholders.

    :param model: the data class that declares the schema.
    :param data: what a TOML or JSON reader gave.
    :returns: the object, or None if the data is too far from the schema;
        and the problems found.
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
    try:
        # Only JSON input lets strict checks take a mapping for an object.
        text = json.dumps(data, default=_hide_type)
        return _get_adapter(model).validate_json(text), [], []
    except pydantic.ValidationError as error:
        items = error.errors(include_url=False, include_input=False)
        problems = [
            Problem(key_path(item['loc']), _message(item)) for item in items
        ]
        return None, problems, [item['loc'] for item in items]


def _hide_type(_: object) -> list[object]:
    # Dates and times of TOML: no schema wants them, nor an empty list where
    # a single value stands.
    return []


def _remove(data: typing.Any, location: Location) -> None:
    holder = _find_holder(data, location)
    if isinstance(holder, dict):
        holder.pop(location[-1], None)


def _put(data: typing.Any, location: Location, value: object) -> None:
    holder = _find_holder(data, location)
    if not isinstance(holder, dict | list):
        return
    changed: typing.Any = holder
    changed[location[-1]] = value


def _find_holder(data: typing.Any, location: Location) -> object:
    for part in location[:-1]:
        try:
            data = data[part]
        except (KeyError, IndexError, TypeError):
            return None
    return data


def key_path(location: Location) -> str:
    """Return a key's path as people read it.

    :param location: the keys and positions that lead to it.
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


def join_problems(
    first: list[Problem], second: list[Problem]
) -> list[Problem]:
    """Join problems of single keys with those that span several.

    :param first: problems of single keys.
    :param second: problems of the rest; one about a key that the first list
        names, or about a part of it, or about a placeholder, is left out.
    :returns: both, in this order.
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
    """Report names that stand twice in a list.

    :param names: the names, in the list's order.
    :param path: key path of the list.
    :param key: the key that holds the name in each item; empty if the items
        are the names.
    :returns: a problem for each repetition.
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
