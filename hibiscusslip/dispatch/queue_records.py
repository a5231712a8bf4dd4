"""Encode the settings of a job's queue in the record of its submission.

An owner may not know the queue: it has no configuration yet, an older one, or
the queue was removed. Then the settings count with which the job was accepted.
"""

import msgspec

from hibiscusslip.dispatch import model


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
