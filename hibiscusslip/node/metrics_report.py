"""Report a node's metrics."""

import curio

from hibiscusslip.node import acceptor
from hibiscusslip.node import appender
from hibiscusslip.node import fleet
from hibiscusslip.observe import metrics
from hibiscusslip.observe import traces

METRICS_INTERVAL_SECONDS = 10.0


class MetricsReport:
    """Send the node's metrics and traces in a fixed interval."""

    def __init__(
        self,
        sender: metrics.Metrics,
        tracer: traces.Tracer,
        shards: fleet.Fleet,
        writer: appender.Appender,
        job_acceptor: acceptor.Acceptor,
    ) -> None:
        self._sender = sender
        self._tracer = tracer
        self._fleet = shards
        self._writer = writer
        self._acceptor = job_acceptor

    async def run(self) -> None:
        """Report until cancelled."""
        sender = self._sender
        reporter = metrics.CounterReporter(sender)
        while True:
            await curio.sleep(METRICS_INTERVAL_SECONDS)
            runners = list(self._fleet.runners.values())
            reporter.report('jobs', [r.engine.counters for r in runners])
            sender.gauge('shards', len(runners))
            sender.gauge('log.appends', self._writer.appends)
            sender.gauge('log.records', self._writer.records)
            sender.gauge('acceptor.retries', self._acceptor.retries)
            sender.gauge('config.version', self._fleet.policy_version)
            sender.flush()
            self._tracer.flush()
