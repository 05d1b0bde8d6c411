"""Decoding of declared data that gathers every problem with its key.

A schema is a data class whose fields are annotated; an unknown key, a wrong
type and a value out of bounds are each a problem of their own.
"""

import dataclasses
import json
import typing

import pydantic

Model = typing.TypeVar('Model')

# Set as ``__pydantic_config__`` on every class of a schema.
STRICT: pydantic.ConfigDict = {'extra': 'forbid', 'strict': True}


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One thing wrong with the data.

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
    try:
        # Only JSON input lets strict checks take a mapping for an object.
        text = json.dumps(data, default=str)
        return _get_adapter(model).validate_json(text), []
    except pydantic.ValidationError as error:
        problems = [
            Problem(_key_path(item['loc']), _message(item))
            for item in error.errors(include_url=False, include_input=False)
        ]
        return None, problems


def _key_path(location: tuple[int | str, ...]) -> str:
    path = ''
    for part in location:
        if isinstance(part, int):
            path += f'[{part}]'
        else:
            path += f'.{part}' if path else part
    return path or '(document)'


def _message(item: typing.Any) -> str:
    kind = item['type']
    if kind in ('unexpected_keyword_argument', 'extra_forbidden'):
        return 'unknown key'
    if kind in ('missing', 'missing_argument'):
        return 'required key is missing'
    text = str(item['msg'])
    return text[:1].lower() + text[1:]


def find_duplicates(names: list[str], path: str, key: str) -> list[Problem]:
    """Report names that stand twice in a list.

    :param names: the names, in the list's order.
    :param path: key path of the list.
    :param key: the key that holds the name in each item.
    :returns: a problem for each repetition.
    """
    seen: set[str] = set()
    problems = []
    for position, name in enumerate(names):
        if name in seen:
            where = f'{path}[{position}].{key}'
            problems.append(Problem(where, f'duplicate name {name!r}'))
        seen.add(name)
    return problems
