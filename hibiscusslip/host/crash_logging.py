"""Tell what ended a loop that should never end by itself."""

import collections.abc
import traceback

from hibiscusslip.host import context
from hibiscusslip.platform import exceptions

Loop = collections.abc.Callable[[], collections.abc.Awaitable[None]]
MAX_FRAMES = 6


async def run_loop(ctx: context.Context, loop: Loop) -> None:
    """Run a loop; log the exception that ends it and raise it on."""
    try:
        await loop()
    except exceptions.ProducerFenced:
        raise  # the ordinary end of an ownership
    except Exception as exc:
        log_crash(ctx, getattr(loop, '__qualname__', repr(loop)), exc)
        raise


def log_crash(ctx: context.Context, loop_name: str, exc: Exception) -> None:
    """Log an exception with the places that it came through."""
    frames = traceback.extract_tb(exc.__traceback__)[-MAX_FRAMES:]
    places = [f'{frame.filename}:{frame.lineno}' for frame in frames]
    ctx.metrics.count('loops_crashed')
    ctx.log.note(
        'loop_crashed', loop=loop_name, error=repr(exc), places=places
    )
    ctx.log.flush()
