"""The reference pages list exactly the keys that the program reads."""

import dataclasses
import pathlib
import typing

import pytest

from filbertglade.administration import application
from filbertglade.configuration import model as document_model
from filbertglade.settings import model as settings_model

DOCS = pathlib.Path(__file__).parent.parent / 'docs'


def _list_keys(schema):
    """Return the field names of a dataclass and of those nested in it."""
    keys = []
    hints = typing.get_type_hints(schema)
    for field in dataclasses.fields(schema):
        keys.append(field.name)
        hint = hints[field.name]
        for part in (hint, *typing.get_args(hint)):
            if dataclasses.is_dataclass(part):
                keys += _list_keys(part)
    return keys


@pytest.mark.parametrize(
    'page, schema',
    [
        ('settings.md', settings_model.NodeSettings),
        ('configuration.md', document_model.Document),
    ],
)
def test_page_names_every_key(page, schema):
    text = (DOCS / page).read_text()
    keys = _list_keys(schema)
    assert len(keys) > 10
    missing = [key for key in keys if key not in text]
    assert missing == []


@pytest.mark.parametrize(
    'page, schema',
    [
        ('settings.md', settings_model.NodeSettings),
        ('configuration.md', document_model.Document),
    ],
)
def test_page_names_no_unknown_key(page, schema):
    keys = set(_list_keys(schema))
    named = [
        line.split('`')[1].split('.')[-1].removesuffix('[]')
        for line in (DOCS / page).read_text().splitlines()
        if line.startswith('| `')
    ]
    assert named
    assert [name for name in named if name not in keys] == []


def test_page_names_every_verdict():
    text = (DOCS / 'administration.md').read_text()
    for verdict in application.MESSAGES:
        name = application.Verdict.Verdict.Name(verdict)
        assert f'`{name.lower().replace("_", "-")}`' in text
