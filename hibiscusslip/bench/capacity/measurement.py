"""Measure processor time and allocated memory."""

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

    The least of some batches counts, as other load only adds to the time.
    """
    work()
    batch = max(1, repeats // BATCHES)
    spent = []
    for _ in range(BATCHES):
        cpu_start = time.process_time()
        for _ in range(batch):
            work()
        spent.append(time.process_time() - cpu_start)
    return min(spent) / batch * MICROS_PER_SECOND


def minimum(measure: collections.abc.Callable[[], float]) -> float:
    """Return the least of BATCHES measurements."""
    return min(measure() for _ in range(BATCHES))


def allocated_bytes(
    build: collections.abc.Callable[[], typing.Any],
) -> tuple[int, typing.Any]:
    """Return the bytes that `build` leaves allocated, and its result."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        built = build()
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - before, built
    finally:
        tracemalloc.stop()


def traced_bytes() -> int:
    """Return the bytes in use that were allocated under `run_traced`."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def run_traced(work: collections.abc.Callable[[], float]) -> float:
    """Return the result of `work`, which may call `traced_bytes`."""
    tracemalloc.start()
    try:
        return work()
    finally:
        tracemalloc.stop()
