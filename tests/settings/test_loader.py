"""Loading of settings files, with a report of every problem."""

import pytest

from filbertglade.settings import loader


def _load(settings_file, text):
    settings_file.write_text(text)
    settings, problems = loader.load_settings(settings_file)
    return settings, [problem.key for problem in problems]


def test_valid_file_loads(settings_file):
    settings, problems = loader.load_settings(settings_file)
    assert problems == []
    assert settings.is_control_host
    assert settings.timings.presence_limit_ms == 4000


def test_every_problem_is_reported_with_its_key(settings_file, settings_text):
    text = settings_text.replace('name = "one"\nregion', 'nmae = 1\nregion')
    text += 'colour = "red"\n[timings]\nrelay_ms = "soon"\n'
    settings, keys = _load(settings_file, text)
    assert settings is None
    assert sorted(keys) == [
        'control.hosts[0].colour',
        'name',
        'nmae',
        'timings.relay_ms',
    ]


def test_problems_of_one_key_do_not_hide_those_of_several_keys(
    settings_file, settings_text
):
    text = settings_text.replace('"127.0.0.1:8080"', '"127.0.0.1:8081"')
    text = text.replace('data_folder = "data"', 'data_folder = 7')
    text += '[timings]\nrelay_ms = "soon"\nannounce_ms = 3000\nrest = 1\n'
    settings, keys = _load(settings_file, text)
    assert settings is None
    assert sorted(keys) == [
        'control.data_folder',
        'listen',
        'timings.presence_limit_ms',
        'timings.relay_ms',
        'timings.rest',
    ]


def test_problems_of_required_keys_do_not_hide_those_of_several_keys(
    settings_file, settings_text
):
    text = settings_text.replace('name = "one"\nregion = "central"', 'x = 1')
    text = text.replace('data_folder = "data"', 'data_folder = "/proc/data"')
    text += settings_text[settings_text.index('[[control') :]
    text += '[[control.hosts]]\nname = "two"\naddress = "localhost:1"\n'
    settings, keys = _load(settings_file, text)
    assert settings is None
    assert sorted(keys) == [
        'control.data_folder',
        'control.hosts[1].address',
        'control.hosts[1].name',
        'control.hosts[2].address',
        'control.hosts[2].data_centre',
        'name',
        'region',
        'x',
    ]


@pytest.mark.parametrize(
    'old, new, key',
    [
        ('data_folder = "data"', '', 'control.data_folder'),
        ('name = "one"\nregion', 'name = "two"\nregion', 'control.hosts'),
        ('"127.0.0.1:8080"', '"127.0.0.1:99999"', 'listen.callers'),
        ('"127.0.0.1:8080"', '"127.0.0.256:80"', 'listen.callers'),
        ('"127.0.0.1:8080"', '"localhost:80"', 'listen.callers'),
        ('"127.0.0.1:8080"', '"[::1:80"', 'listen.callers'),
        ('"127.0.0.1:8080"', '"127.0.0.1:8081"', 'listen'),
        ('"127.0.0.1:8080"', '"127.0.0.1:8082"', 'listen'),
        ('inner = "127.0.0.1:8082"', 'inner = "0.0.0.0:8082"', 'listen.inner'),
        ('[control]', '[control]\nlease_ms = 2000', 'control.lease_ms'),
        ('[control]', '[control]\nlease_ms = 0', 'control.lease_ms'),
        ('[control]', f'[control]\nlease_ms = {10**30}', 'control.lease_ms'),
        ('[control]', '[control]\nheartbeat_ms = 400', 'control.heartbeat_ms'),
        ('region = "central"', 'region = 2026-01-01', 'region'),
        ('region = "central"', 'region = ""', 'region'),
        ('region = "central"', 'region = "a b"', 'region'),
        ('data_centre = "north"\n\n', 'data_centre = "east"\n', 'data_centre'),
        (
            'region',
            'administration.key_sha256 = "x"\nregion',
            'administration.key_sha256',
        ),
    ],
)
def test_invalid_value(settings_file, settings_text, old, new, key):
    assert old in settings_text
    text = settings_text.replace(old, new, 1)
    settings, keys = _load(settings_file, text)
    assert settings is None
    assert key in keys


def test_duplicate_control_hosts(settings_file, settings_text):
    text = settings_text + settings_text[settings_text.index('[[control') :]
    _, keys = _load(settings_file, text)
    assert keys == [
        'control.hosts[1].name',
        'control.hosts[1].address',
        'control.hosts',
    ]


@pytest.mark.parametrize('folder', ['below-a-file/data', '/proc/data'])
def test_data_folder_that_cannot_be_written(
    settings_file, settings_text, folder
):
    (settings_file.parent / 'below-a-file').write_text('')
    text = settings_text.replace(
        '"data"', f'"{settings_file.parent / folder}"'
    )
    settings, keys = _load(settings_file, text)
    assert settings is None
    assert keys == ['control.data_folder']


def test_log_file_that_cannot_be_written(settings_file, settings_text):
    for path in ('/proc/node.log', settings_file.parent):
        _, keys = _load(settings_file, f'log_file = "{path}"\n{settings_text}')
        assert keys == ['log_file']


@pytest.mark.parametrize('text', ['name = ', '\udcff', 'a = 1\na = 2'])
def test_file_that_is_not_toml(settings_file, text):
    settings_file.write_bytes(text.encode(errors='surrogateescape'))
    settings, problems = loader.load_settings(settings_file)
    assert settings is None
    assert 'not valid TOML' in problems[0].message


def test_warnings(settings_file, settings_text):
    text = settings_text.replace('"127.0.0.1:8081"', '"10.0.0.1:8081"')
    settings, _ = _load(settings_file, text)
    keys = [warning.key for warning in loader.find_warnings(settings)]
    assert keys == ['control.hosts', 'log_file', 'administration.key_sha256']
