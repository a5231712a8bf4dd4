"""Apply changes of the settings file while the host runs."""

import dataclasses
import pathlib

import curio

from hibiscusslip.host import context
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import settings

CHECK_PERIOD_S = 1.0
# `bounds` is read at each use. Fields that aren't listed are bound to sockets
# or names at startup.
RELOADABLE_FIELDS = ('bounds', 'cpu_share', 'cores', 'link_mbps')


class Reloader:
    """Reload the settings file when it has changed, or on request.

    An unreadable or invalid file changes nothing; it is read again once it
    has changed.
    """

    def __init__(self, ctx: context.Context, path: str) -> None:
        self._ctx = ctx
        self._path = pathlib.Path(path)
        self._last_read_stamp = self._stamp()
        self._requested = False

    def request_reload(self) -> None:
        """Request a reload at the next check, even of an unchanged file."""
        self._requested = True

    async def run(self) -> None:
        """Check the file periodically until cancelled."""
        while True:
            await curio.sleep(CHECK_PERIOD_S)
            self.check()

    def check(self) -> None:
        """Reload the file if it has changed or a reload was requested."""
        stamp = self._stamp()
        if stamp == self._last_read_stamp and not self._requested:
            return
        self._last_read_stamp = stamp
        asked, self._requested = self._requested, False
        try:
            new = settings.load(str(self._path))
        except exceptions.SettingsInvalid as exc:
            self._ctx.log.note('reload_failed', error=str(exc)[:200])
            return
        reloaded, need_restart = split_changed_fields(self._ctx.cfg, new)
        self._ctx.cfg = merge_reloadable_fields(self._ctx.cfg, new)
        self._ctx.log.note(
            'settings_reloaded',
            asked=asked,
            changed=reloaded,
            need_restart=need_restart,
        )

    def _stamp(self) -> tuple[int, int] | None:
        """Return the file's mtime and size, None if it can't be read."""
        try:
            stat_result = self._path.stat()
        except OSError:
            return None
        return stat_result.st_mtime_ns, stat_result.st_size


def split_changed_fields(
    old: settings.HostSettings, new: settings.HostSettings
) -> tuple[list[str], list[str]]:
    """Return the names of changed fields: reloadable ones, then the others."""
    changed = [
        field.name
        for field in dataclasses.fields(settings.HostSettings)
        if getattr(old, field.name) != getattr(new, field.name)
    ]
    reloaded = [name for name in changed if name in RELOADABLE_FIELDS]
    return reloaded, [
        name for name in changed if name not in RELOADABLE_FIELDS
    ]


def merge_reloadable_fields(
    old: settings.HostSettings, new: settings.HostSettings
) -> settings.HostSettings:
    """Return the old settings with the reloadable fields of the new ones."""
    fields = {name: getattr(new, name) for name in RELOADABLE_FIELDS}
    return dataclasses.replace(old, **fields)
