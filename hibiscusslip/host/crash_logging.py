"""Log the exception that ends a loop which should run forever."""

import collections.abc
import traceback

from hibiscusslip.host import context
from hibiscusslip.platform import exceptions

Loop = collections.abc.Callable[[], collections.abc.Awaitable[None]]
MAX_FRAMES = 6


async def run_loop(ctx: context.Context, loop: Loop) -> None:
    """Run a loop; log an exception that ends it and raise it again."""
    try:
        await loop()
    except exceptions.ProducerFenced:
        raise  # the regular end of an ownership, not a crash
    except Exception as exc:
        log_crash(ctx, getattr(loop, '__qualname__', repr(loop)), exc)
        raise


def log_crash(ctx: context.Context, loop_name: str, exc: Exception) -> None:
    """Log an exception with the innermost frames of its traceback."""
    frames = traceback.extract_tb(exc.__traceback__)[-MAX_FRAMES:]
    places = [f'{frame.filename}:{frame.lineno}' for frame in frames]
    ctx.metrics.count('loops_crashed')
    ctx.log.note(
        'loop_crashed', loop=loop_name, error=repr(exc), places=places
    )
    ctx.log.flush()
