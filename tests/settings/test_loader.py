"""Settings files: good ones load, bad ones report every problem."""

import pytest

from filbertglade.settings import loader


def test_good_file_loads(settings_file):
    settings, problems = loader.load_settings(settings_file)
    assert problems == []
    assert settings.is_control_host
    assert settings.timings.presence_limit_ms == 4000


def test_every_problem_is_reported_with_its_key(settings_file, settings_text):
    text = settings_text.replace('name = "one"\nregion', 'nmae = 1\nregion')
    text += 'colour = "red"\n[timings]\nrelay_ms = "soon"\n'
    settings_file.write_text(text)
    settings, problems = loader.load_settings(settings_file)
    assert settings is None
    assert sorted(problem.key for problem in problems) == [
        'control.hosts[0].colour',
        'name',
        'nmae',
        'timings.relay_ms',
    ]


@pytest.mark.parametrize(
    'old, new, key',
    [
        ('data_folder = "data"', '', 'control.data_folder'),
        ('name = "one"\nregion', 'name = "two"\nregion', 'control.hosts'),
        ('"127.0.0.1:8080"', '"127.0.0.1:99999"', 'listen.callers'),
        ('"127.0.0.1:8080"', '"127.0.0.1:8081"', 'listen'),
        (
            '[control]',
            '[control]\nlease_ms = 2000',
            'control.lease_ms',
        ),
    ],
)
def test_what_spans_keys(settings_file, settings_text, old, new, key):
    settings_file.write_text(settings_text.replace(old, new, 1))
    _, problems = loader.load_settings(settings_file)
    assert key in [problem.key for problem in problems]


def test_data_folder_below_a_file(settings_file, settings_text, tmp_path):
    blocked = tmp_path / 'blocked'
    blocked.write_text('')
    settings_file.write_text(
        settings_text.replace('"data"', f'"{blocked}/data"')
    )
    _, problems = loader.load_settings(settings_file)
    assert [problem.key for problem in problems] == ['control.data_folder']
