"""Check that a changed settings file is applied, and an invalid one not."""

import os

from hibiscusslip.host import reloading
from hibiscusslip.platform import settings
from tests.host import fakes
from tests.platform import cell


def write_settings(directory, extra=''):
    """Write a settings file and return its path."""
    text = cell.SETTINGS_FILE.format(
        name='h1', ip='127.0.0.1', store='127.0.0.1:1'
    )
    path = directory / 'node'
    path.write_text(text + extra)
    return path


def rewrite(path, text):
    """Write a file again, with a later modification time."""
    before = path.stat().st_mtime_ns
    path.write_text(text)
    os.utime(path, ns=(before + 1, before + 1))


def make_reloader(path):
    ctx = fakes.make_context(fakes.FakeStore())
    ctx.cfg = settings.load(str(path))
    return ctx, reloading.Reloader(ctx, str(path))


def test_changed_bounds_are_applied_without_a_signal(tmp_path):
    path = write_settings(tmp_path, '\nBounds.MaxHoldMs=6000\n')
    ctx, loader = make_reloader(path)
    text = path.read_text()
    rewrite(path, text.replace('MaxHoldMs=6000', 'MaxHoldMs=4000'))
    loader.check()
    assert ctx.cfg.bounds.max_lease == 4.0
    [event] = ctx.log.named('settings_reloaded')
    assert event['changed'] == ['bounds']
    assert not event['asked']


def test_settings_that_need_a_restart_are_logged_and_not_applied(tmp_path):
    path = write_settings(tmp_path)
    ctx, loader = make_reloader(path)
    before = ctx.cfg
    rewrite(path, path.read_text().replace('Zone=', 'Zone=other'))
    loader.check()
    assert ctx.cfg == before
    [event] = ctx.log.named('settings_reloaded')
    assert 'zone' in event['need_restart']


def test_invalid_file_changes_nothing_and_is_logged_once(tmp_path):
    path = write_settings(tmp_path)
    ctx, loader = make_reloader(path)
    before = ctx.cfg
    rewrite(path, 'PortRange=nothing\n')
    loader.check()
    assert ctx.cfg == before
    assert len(ctx.log.named('reload_failed')) == 1
    loader.check()
    assert len(ctx.log.named('reload_failed')) == 1


def test_signal_reloads_an_unchanged_file_once(tmp_path):
    ctx, loader = make_reloader(write_settings(tmp_path))
    loader.check()
    assert not ctx.log.events
    loader.request_reload()
    loader.check()
    loader.check()
    [event] = ctx.log.named('settings_reloaded')
    assert event['asked']
    assert event['changed'] == []
