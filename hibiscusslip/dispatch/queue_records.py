"""Encode the settings of a job's queue in the record of its submission.

An owner may not know the queue: it has no configuration yet, an older one, or
the queue was removed. Then the settings count with which the job was accepted.
"""

import collections.abc

import msgspec

from hibiscusslip.dispatch import model

MAX_NUMBER = 2**63 - 1  # as the check of configurations allows


class AdviceRow(msgspec.Struct, array_like=True, frozen=True):
    """The settings of a queue's calls to the advice service, in seconds."""

    decision: float
    per_endpoint: float
    valid: float


class QueueRow(msgspec.Struct, array_like=True, frozen=True):
    """The settings of a queue that decide how its jobs are handled."""

    priority: int
    max_attempts: int
    target_latency: float
    stretch: float
    advice: AdviceRow | None = None
    public: bool = False


def are_plausible(numbers: collections.abc.Iterable[float]) -> bool:
    """Return False if a number is NaN or beyond MAX_NUMBER."""
    return all(-MAX_NUMBER <= number <= MAX_NUMBER for number in numbers)


def numbers_of(
    item: QueueRow | model.Queue,
) -> collections.abc.Iterator[float]:
    """Yield the numbers among the settings of a queue."""
    yield item.priority
    yield item.max_attempts
    yield item.target_latency
    yield item.stretch
    if item.advice is not None:
        yield item.advice.decision
        yield item.advice.per_endpoint
        yield item.advice.valid


def encode(queue: model.Queue) -> QueueRow:
    """Return the row of a queue."""
    advice = queue.advice
    return QueueRow(
        queue.priority,
        queue.max_attempts,
        queue.target_latency,
        queue.stretch,
        None
        if advice is None
        else AdviceRow(advice.decision, advice.per_endpoint, advice.valid),
        queue.public,
    )


def decode(row: QueueRow, name: str, service: str) -> model.Queue:
    """Return the queue of a row; no path leads to it."""
    advice = row.advice
    return model.Queue(
        name=name,
        host='',
        prefix='',
        service=service,
        target_latency=row.target_latency,
        priority=row.priority,
        max_attempts=row.max_attempts,
        stretch=row.stretch,
        advice=None
        if advice is None
        else model.Advice(advice.decision, advice.per_endpoint, advice.valid),
        public=row.public,
    )
