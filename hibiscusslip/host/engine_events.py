"""Log the events of the engine, and count the rare ones."""

import typing

from hibiscusslip.dispatch import copies
from hibiscusslip.host import context

COUNTED_EVENTS = frozenset(
    (
        'advice_waits',
        'endpoint_restarted',
        'endpoint_replaced',
        'ends_partial',
        'entry_outdated',
        'crash_suspected',
        'task_given_up',
        'held_by_limit',
        'keeping_ended',
        'retry_held',
        'step_hopeless',
        'run_preempted',
        *copies.EVENTS,
    )
)


def note(ctx: context.Context, event: str, **fields: typing.Any) -> None:
    """Log an event, and count it if it is one of COUNTED_EVENTS."""
    ctx.log.note(event, **fields)
    if event in COUNTED_EVENTS:
        ctx.metrics.count('engine_events', event=event)
