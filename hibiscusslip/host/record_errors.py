"""Leave out single records and entries that can't be applied.

Whatever is wrong with one of them, it costs itself, a log line and a count:
the hosts that read it go on, and can start again.
"""

import collections.abc
import contextlib

from hibiscusslip.dispatch import model
from hibiscusslip.host import context
from hibiscusslip.platform import entry_documents
from hibiscusslip.platform import exceptions

MAX_NOTED_ENTRIES = 10_000
MAX_LOGGED_CHARS = 200


@contextlib.contextmanager
def leaving_out(
    ctx: context.Context,
    topic: str,
    part: int | None,
    offset: int | None,
    key: str,
) -> collections.abc.Iterator[None]:
    """Leave out the record that is applied within if that fails.

    `part` and `offset` are None if they aren't known. A PlatformError is
    raised: it is not the fault of the record.
    """
    try:
        yield
    except exceptions.PlatformError:
        raise
    except Exception as exc:
        ctx.metrics.count('records_left_out', topic=topic)
        ctx.log.note(
            'record_left_out',
            topic=topic,
            part=part,
            offset=offset,
            key=key[:MAX_LOGGED_CHARS],
            error=repr(exc)[:MAX_LOGGED_CHARS],
        )


def read_entry(
    ctx: context.Context, name: str, value: bytes
) -> model.EndpointEntry | None:
    """Return an endpoint's entry, None if it names no endpoint to use.

    The reason is logged when it is a new one.
    """
    try:
        entry = entry_documents.read_endpoint_entry(name, value)
    except exceptions.EntryInvalid as exc:
        _note_refusal(ctx, name, str(exc)[:MAX_LOGGED_CHARS], len(value))
        return None
    ctx.refused_entries.pop(name, None)
    return entry


def _note_refusal(
    ctx: context.Context, name: str, reason: str, size: int
) -> None:
    ctx.metrics.count('entries_refused')
    if ctx.refused_entries.get(name) == reason:
        return
    ctx.refused_entries[name] = reason
    if len(ctx.refused_entries) > MAX_NOTED_ENTRIES:
        del ctx.refused_entries[next(iter(ctx.refused_entries))]
    ctx.log.note(
        'endpoint_entry_refused',
        endpoint=name[:MAX_LOGGED_CHARS],
        error=reason,
        bytes=size,
    )
