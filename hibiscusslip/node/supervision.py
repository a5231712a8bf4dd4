"""Notice when a loop that the host can't do without has crashed."""

import collections.abc
import pathlib
import traceback

from loguru import logger

Loop = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Supervisor:
    """Remember whether one of the guarded loops has crashed.

    A host that lost a loop would go on to renew leases and take requests
    that it can't see through, so its process has to end.
    """

    def __init__(self) -> None:
        self.crashed = False

    async def guard(self, loop: Loop) -> None:
        """Run a loop; note the exception that ends it."""
        try:
            await loop()
        except Exception as exc:
            self.crashed = True
            name = getattr(loop, '__qualname__', repr(loop))
            logger.opt(exception=exc).critical(
                '{} crashed {}; the process ends, start it again',
                name,
                _format_location(exc),
            )


def _format_location(exc: Exception) -> str:
    """Return the lines that an exception came through.

    The log shows no traceback, as its texts may quote what is secret.
    """
    frames = traceback.extract_tb(exc.__traceback__)[1:]
    places = [f'{pathlib.Path(f.filename).name}:{f.lineno}' for f in frames]
    return f'at {" > ".join(places)}'
