"""Check that settings load and that all faults are reported."""

import pathlib

import msgspec
import pytest

from hibiscusslip import settings
from hibiscusslip.settings import _file

SECRET = 'never-show-this-secret'
GOOD = """
[host]
name = "ga-east-a-1"
region = "ga-east"
zone = "ga-east-a"

[listen]
callers = { address = "127.0.0.1", port = 7400 }
operators = { address = "127.0.0.1", port = 7401 }
peers = { address = "127.0.0.1", port = 7402 }

[platform]
log = { address = "127.0.0.1", port = 7500 }
host_list = { address = "127.0.0.1", port = 7501 }

[timing]
lease = 10

[observe]
log_level = "INFO"
trace_exporter = "none"

[[seeds]]
name = "ga-east-a-2"
zone = "ga-east-a"
address = "10.1.0.5"
port = 7402

[[keys.peers]]
id = "p1"
secret_env = "TEST_SECRET"

[[keys.operators]]
id = "o1"
secret_env = "TEST_SECRET"
"""


@pytest.fixture(autouse=True)
def secret(monkeypatch):
    """Set the environment variable that the keys refer to."""
    monkeypatch.setenv('TEST_SECRET', SECRET)


def load(tmp_path, text):
    """Write a file and load it."""
    path = pathlib.Path(tmp_path, 'entry.toml')
    path.write_text(text)
    return settings.load(path)


def faults_of(tmp_path, text):
    """Return the faults of a settings text by key."""
    with pytest.raises(settings.SettingsError) as caught:
        load(tmp_path, text)
    return {fault.key: fault for fault in caught.value.faults}


def test_load_returns_the_settings_of_the_file(tmp_path):
    cfg = load(tmp_path, GOOD)
    assert cfg.host == settings.Host(
        'ga-east-a-1', 'ga-east', 'ga-east-a', ('ga-east-a',)
    )
    assert cfg.listeners.peers == settings.Address('127.0.0.1', 7402)
    assert cfg.seeds[0].name == 'ga-east-a-2'
    assert cfg.keys.peers == (settings.Key('p1', SECRET.encode()),)
    assert cfg.timing.lease == 10.0


def test_repr_leaves_out_secrets(tmp_path):
    assert SECRET not in repr(load(tmp_path, GOOD))


def test_seed_entry_for_the_own_host_is_left_out(tmp_path):
    text = GOOD.replace('"ga-east-a-2"', '"ga-east-a-1"')
    assert load(tmp_path, text).seeds == ()


@pytest.mark.parametrize(
    ('old', 'new', 'key', 'expected', 'remedy'),
    [
        ('zone =', 'zon =', 'host.zon', 'one of name', 'rename it to zone'),
        ('port = 7400', 'port = "x"', 'listen.callers.port', 'a port', '7400'),
        ('port = 7400', 'port = 70000', 'listen.callers.port', '70000', ''),
        ('port = 7400', 'port = true', 'listen.callers.port', 'True', ''),
        ('port = 7500', 'port = 0', 'platform.log.port', 'from 1', ''),
        ('port = 7401', 'port = 7400', 'listen.operators.port', 'other', ''),
        ('"10.1.0.5"', '"db.local"', 'seeds[0].address', 'IP address', ''),
        ('lease = 10', 'lease = -1', 'timing.lease', 'above 0', '2.5'),
        ('lease = 10', 'lease = nan', 'timing.lease', 'above 0', ''),
        ('lease = 10', 'promise = 11', 'timing.promise', 'at most', 'lower'),
        ('lease = 10', 'hold = 9', 'timing.hold', '0.5 times', 'lower'),
        (
            'lease = 10',
            'renew_interval = 3',
            'timing.renew_interval',
            'below 2.5',
            '',
        ),
        (
            'lease = 10',
            'suspect_after = 0.6',
            'timing.heartbeat_interval',
            '',
            '',
        ),
        ('lease = 10', 'leas = 1', 'timing.leas', 'one of', 'rename it to l'),
        ('"INFO"', '"LOUD"', 'observe.log_level', "'DEBUG'", 'INFO'),
        ('"none"', '"file"', 'observe.trace_file', 'a path', 'none'),
        ('"none"', '"http"', 'observe.trace_exporter', "'none' or", ''),
        ('id = "p1"', 'id = "P 1"', 'keys.peers[0].id', 'lower-case', ''),
        ('secret_env', 'secret_file', 'keys.peers[0].secret_file', '', ''),
        ('"TEST_SECRET"', '"UNSET"', 'keys.peers[0]', '16 bytes', 'longer'),
        ('secret_env = "TEST_SECRET"', '', 'keys.peers[0]', 'either', ''),
    ],
)
def test_fault_names_key_and_remedy(tmp_path, old, new, key, expected, remedy):
    faults = faults_of(tmp_path, GOOD.replace(old, new, 1))
    assert key in faults
    assert expected in faults[key].expected
    assert remedy in faults[key].remedy
    assert 'entry.toml' in str(faults[key])


def test_missing_section_and_key_are_named(tmp_path):
    text = GOOD.replace('[platform]', '[other]').replace('name', 'title', 1)
    faults = faults_of(tmp_path, text)
    assert {'platform', 'other', 'host.name', 'host.title'} == set(faults)


def test_all_faults_are_reported_at_once(tmp_path):
    text = GOOD.replace('7400', '"a"').replace('7500', '-1')
    text = text.replace('lease = 10', 'lease = "long"')
    assert set(faults_of(tmp_path, text)) == {
        'listen.callers.port',
        'platform.log.port',
        'timing.lease',
    }


@pytest.mark.parametrize('text', ['[host', '\x00'])
def test_invalid_toml_is_one_fault(tmp_path, text):
    assert 'TOML' in faults_of(tmp_path, text)[''].expected


def test_missing_file_is_one_fault(tmp_path):
    with pytest.raises(settings.SettingsError, match='correct the path'):
        settings.load(tmp_path / 'none.toml')


def test_two_keys_with_unique_ids_are_valid_for_rotation(tmp_path):
    text = GOOD + '[[keys.operators]]\nid = "o2"\nsecret_env="TEST_SECRET"\n'
    assert [key.key_id for key in load(tmp_path, text).keys.operators] == [
        'o1',
        'o2',
    ]
    assert 'keys.operators[1].id' in faults_of(
        tmp_path, text.replace('o2', 'o1')
    )


def test_reference_page_lists_every_key_with_its_default():
    page = pathlib.Path('docs/SETTINGS.md').read_text()
    for section in ('host', 'platform', 'timing', 'limits', 'observe'):
        model = dict(_fields(_file.SettingsFile))[section].type
        for name, field in _fields(model):
            if isinstance(field.default, float | int):
                row = (
                    f'| `{section}.{name}` | {_format_value(field.default)} |'
                )
                assert row in page


def _fields(model):
    return [(field.name, field) for field in msgspec.structs.fields(model)]


def _format_value(value):
    if isinstance(value, bool):
        return str(value).lower()
    return f'{value:g}' if isinstance(value, float) else str(value)


def test_zones_are_unique_and_include_the_own_zone(tmp_path):
    own = '[[zones]]\nname = "ga-east-a"\n'
    other = own.replace('east-a', 'east-b')
    zones = load(tmp_path, GOOD + other + own).host.zones
    assert zones == ('ga-east-a', 'ga-east-b')
    assert 'zones' in faults_of(tmp_path, GOOD + other)
    foreign = GOOD.replace(
        'zone = "ga-east-a"\naddress', 'zone = "b"\naddress'
    )
    assert 'zones' in faults_of(tmp_path, foreign)
    assert load(tmp_path, foreign + own).host.zones == ('ga-east-a',)
    faults = faults_of(tmp_path, GOOD + own + own)
    assert set(faults) == {'zones[1].name'}
