"""Detect crashes of the loops that a host can't run without."""

import collections.abc
import pathlib
import traceback

from loguru import logger

Loop = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Supervisor:
    """Record whether one of the guarded loops has crashed.

    A host that has lost a loop would still renew leases and accept requests
    that it can't complete, so its process must exit.
    """

    def __init__(self) -> None:
        self.crashed = False

    async def guard(self, loop: Loop) -> None:
        """Run a loop; log an exception that ends it and set `crashed`."""
        try:
            await loop()
        except Exception as exc:
            self.crashed = True
            name = getattr(loop, '__qualname__', repr(loop))
            logger.opt(exception=exc).critical(
                '{} crashed {}; the process exits, start it again',
                name,
                _format_location(exc),
            )


def _format_location(exc: Exception) -> str:
    """Return the source lines that an exception passed through.

    The log shows no full traceback because its texts may contain secrets.
    """
    frames = traceback.extract_tb(exc.__traceback__)[1:]
    places = [f'{pathlib.Path(f.filename).name}:{f.lineno}' for f in frames]
    return f'at {" > ".join(places)}'
