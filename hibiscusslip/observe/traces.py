"""Make one span for each hop of a request.

Off by default: then a hop only passes the caller's traceparent on, and
nothing of OpenTelemetry is loaded. The trace context goes from hop to hop as a
W3C traceparent, in HTTP headers and in the envelopes between entry hosts.
"""

import types
import typing

HEADER = 'traceparent'
MAX_TRACEPARENT_CHARS = 55


class Hop:
    """Pass a trace context on without making a span."""

    __slots__ = ('traceparent',)

    def __init__(self, traceparent: str):
        self.traceparent = traceparent

    def __enter__(self) -> 'Hop':
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trail: types.TracebackType | None,
    ) -> None:
        return None

    def note(self, name: str, value: str | int | float | bool) -> None:
        """Add an attribute to the span, if there is one."""

    @property
    def headers(self) -> dict[str, str]:
        """Return the HTTP headers that carry the context on."""
        return {HEADER: self.traceparent} if self.traceparent else {}


class Tracer:
    """Make hops that make no spans."""

    def hop(self, name: str, parent: str = '') -> Hop:
        """Return a context manager for one hop below `parent`."""
        return Hop(parent)

    def flush(self) -> None:
        """Write what is buffered."""

    def close(self) -> None:
        """Write what is buffered and stop."""


NOOP_TRACER = Tracer()


def extract_traceparent(headers: typing.Mapping[str, str]) -> str:
    """Return the traceparent in lower-case HTTP headers, or ''."""
    value = headers.get(HEADER, '')
    return value if len(value) <= MAX_TRACEPARENT_CHARS else ''


def make(path: str, host: str, ratio: float = 1.0) -> Tracer:
    """Return a tracer that writes to the file `path`, or one that is off.

    `ratio` is the share of new traces that are kept; a trace that came
    from elsewhere keeps its caller's choice.
    """
    if not path:
        return NOOP_TRACER
    # Imported here: the SDK takes memory that a host without it can use.
    from hibiscusslip.observe import _spans

    return _spans.SpanTracer(path, host, ratio)
