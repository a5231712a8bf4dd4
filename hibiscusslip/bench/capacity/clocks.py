"""Time code by the processor and weigh data by the allocator."""

import collections.abc
import gc
import time
import tracemalloc
import typing

MICROS_PER_SECOND = 1e6
BATCHES = 5


def cpu_micros(
    work: collections.abc.Callable[[], object], repeats: int
) -> float:
    """Return the microseconds of processor time of one call of `work`.

    That of the best of some batches, as other load only adds to it.
    """
    work()
    batch = max(1, repeats // BATCHES)
    spent = []
    for _ in range(BATCHES):
        begun = time.process_time()
        for _ in range(batch):
            work()
        spent.append(time.process_time() - begun)
    return min(spent) / batch * MICROS_PER_SECOND


def best(measure: collections.abc.Callable[[], float]) -> float:
    """Return the least of some runs of a measurement."""
    return min(measure() for _ in range(BATCHES))


def weigh(
    build: collections.abc.Callable[[], typing.Any],
) -> tuple[int, typing.Any]:
    """Return the bytes that what `build` returns keeps, and that itself."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        built = build()
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - before, built
    finally:
        tracemalloc.stop()


def traced() -> int:
    """Return the bytes in use that were allocated while tracing."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def tracing(work: collections.abc.Callable[[], float]) -> float:
    """Run `work`, which asks `traced`, and return what it returns."""
    tracemalloc.start()
    try:
        return work()
    finally:
        tracemalloc.stop()
