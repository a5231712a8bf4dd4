"""Trace requests with one span for each component that handles them.

Tracing is off by default: a span then only propagates the caller's
traceparent, and OpenTelemetry isn't imported. The trace context travels as a
W3C traceparent, in HTTP headers and in the envelopes between entry hosts.
"""

import types
import typing

HEADER = 'traceparent'
MAX_TRACEPARENT_CHARS = 55


class Span:
    """Propagate a trace context; record nothing."""

    __slots__ = ('traceparent',)

    def __init__(self, traceparent: str):
        self.traceparent = traceparent

    def __enter__(self) -> 'Span':
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        return None

    def set_attribute(
        self, name: str, value: str | int | float | bool
    ) -> None:
        """Set an attribute of the span if it is recorded."""

    @property
    def headers(self) -> dict[str, str]:
        """Return the HTTP headers that propagate the context."""
        return {HEADER: self.traceparent} if self.traceparent else {}


class Tracer:
    """Create spans that are not recorded."""

    def start_span(self, name: str, parent: str = '') -> Span:
        """Return a span as a context manager; `parent` is a traceparent."""
        return Span(parent)

    def flush(self) -> None:
        """Write the buffered spans."""

    def close(self) -> None:
        """Write the buffered spans and stop."""


NOOP_TRACER = Tracer()


def extract_traceparent(headers: typing.Mapping[str, str]) -> str:
    """Return the traceparent of a request, or '' if it has none.

    The names in `headers` are in lower case. An oversized value is ignored.
    """
    value = headers.get(HEADER, '')
    return value if len(value) <= MAX_TRACEPARENT_CHARS else ''


def create_tracer(path: str, host: str, ratio: float = 1.0) -> Tracer:
    """Return a tracer that writes to the file `path`, or a no-op tracer.

    An empty `path` turns tracing off. `ratio` is the sampling ratio of
    traces that start here; other traces keep their caller's decision.
    """
    if not path:
        return NOOP_TRACER
    # Imported here, as the SDK takes memory that hosts without tracing save.
    from hibiscusslip.observe import _spans

    return _spans.SpanTracer(path, host, ratio)
