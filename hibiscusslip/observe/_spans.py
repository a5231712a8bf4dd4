"""Record spans with the OpenTelemetry SDK and export them to a file."""

import collections.abc
import types

from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import sampling
import opentelemetry.trace as trace_api
from opentelemetry.trace.propagation import tracecontext

from hibiscusslip.observe import traces

MAX_FILE_BYTES = 256 * 1024 * 1024
_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class RecordingSpan(traces.Span):
    """Record a span from its creation to the exit of its context."""

    __slots__ = ('_span',)

    def __init__(self, span: trace_api.Span):
        carrier: dict[str, str] = {}
        context = trace_api.set_span_in_context(span)
        _PROPAGATOR.inject(carrier, context)
        super().__init__(carrier.get(traces.HEADER, ''))
        self._span = span

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        if exc_type is not None:
            self._span.set_status(
                trace_api.StatusCode.ERROR, exc_type.__name__
            )
        self._span.end()

    def set_attribute(
        self, name: str, value: str | int | float | bool
    ) -> None:
        """Set an attribute of the span."""
        self._span.set_attribute(name, value)


class FileExporter(export.SpanExporter):
    """Append spans to a file as JSON lines, up to `max_bytes`.

    Once a span exceeds the limit, it and all later ones are dropped.
    """

    def __init__(self, path: str, max_bytes: int = MAX_FILE_BYTES):
        self._file = open(path, 'a', encoding='utf-8')
        self._remaining_bytes = max_bytes

    def export(
        self, spans: collections.abc.Sequence[sdk_trace.ReadableSpan]
    ) -> export.SpanExportResult:
        """Write spans; return FAILURE once the size limit is exceeded."""
        for span in spans:
            line = span.to_json(indent=None)
            self._remaining_bytes -= len(line) + 1
            if self._remaining_bytes < 0:
                return export.SpanExportResult.FAILURE
            self._file.write(f'{line}\n')
        return export.SpanExportResult.SUCCESS

    def force_flush(self, timeout_millis: int = 30000) -> bool:
        """Write the buffered spans to the file."""
        self._file.flush()
        return True

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()


class SpanTracer(traces.Tracer):
    """Record spans and write them to a file on the calling thread.

    `ratio` is the sampling ratio of traces that start here.
    """

    def __init__(self, path: str, host: str, ratio: float):
        self._exporter = FileExporter(path)
        self._provider = sdk_trace.TracerProvider(
            sampler=sampling.ParentBasedTraceIdRatio(ratio),
            resource=resources.Resource(
                {'service.name': 'hibiscusslip', 'host.name': host}
            ),
            shutdown_on_exit=False,
        )
        # BatchSpanProcessor would start a thread.
        self._provider.add_span_processor(
            export.SimpleSpanProcessor(self._exporter)
        )
        self._tracer = self._provider.get_tracer('hibiscusslip')

    def start_span(self, name: str, parent: str = '') -> traces.Span:
        """Start a recorded child span of `parent`, a traceparent."""
        context = _PROPAGATOR.extract({traces.HEADER: parent})
        span = self._tracer.start_span(name, context)
        return RecordingSpan(span)

    def flush(self) -> None:
        """Write the buffered spans to the file."""
        self._exporter.force_flush()

    def close(self) -> None:
        """Write the buffered spans and close the file."""
        self._provider.shutdown()
