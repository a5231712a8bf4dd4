"""Tell what ended a loop that should never end by itself."""

import collections.abc
import traceback

from hibiscusslip.host import context
from hibiscusslip.platform import exceptions

Loop = collections.abc.Callable[[], collections.abc.Awaitable[None]]
MOST_FRAMES = 6


async def guard(ctx: context.Context, loop: Loop) -> None:
    """Run a loop; log the exception that ends it and raise it on."""
    try:
        await loop()
    except exceptions.ProducerFenced:
        raise  # the ordinary end of an ownership
    except Exception as exc:
        note_crash(ctx, getattr(loop, '__qualname__', repr(loop)), exc)
        raise


def note_crash(ctx: context.Context, what: str, exc: Exception) -> None:
    """Log an exception with the places that it came through."""
    frames = traceback.extract_tb(exc.__traceback__)[-MOST_FRAMES:]
    places = [f'{frame.filename}:{frame.lineno}' for frame in frames]
    ctx.metrics.count('loops_crashed')
    ctx.log.note('loop_crashed', loop=what, error=repr(exc), places=places)
    ctx.log.flush()
