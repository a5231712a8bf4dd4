"""Serve one stand-in worker over HTTP."""

import collections.abc
import dataclasses

import msgspec

from hibiscusslip.endpoint import base
from hibiscusslip.endpoint import exceptions
from hibiscusslip.endpoint import wire
from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import messages
from hibiscusslip.standin import _routing
from hibiscusslip.standin import faults
from hibiscusslip.standin import memory_endpoint
from hibiscusslip.standin import violations

MIN_STREAM_WAIT_S = 0.5


class WorkerHandler(_routing.RoutingHandler):
    """Serve the calls of an endpoint, and control faults and counters.

    A call whose response is lost drops its connection.
    """

    def __init__(
        self,
        endpoint: memory_endpoint.MemoryEndpoint,
        monitor: violations.ViolationMonitor,
    ) -> None:
        super().__init__()
        self._endpoint = endpoint
        self._monitor = monitor
        self.routes = {
            ('POST', wire.START_PATH): self._start,
            ('POST', wire.RENEW_PATH): self._renew,
            ('GET', wire.RUNS_PATH): self._runs,
            ('GET', wire.EVENTS_PATH): self._events,
            ('GET', wire.EVENT_STREAM_PATH): self._event_stream,
            ('GET', wire.ANSWER_PATH): self._answer,
            ('POST', wire.CHECKPOINT_PATH): self._checkpoint,
            ('POST', wire.THROTTLE_PATH): self._throttle,
            ('POST', wire.STOP_PATH): self._stop,
            ('GET', wire.USAGE_PATH): self._usage,
            ('POST', '/faults'): self._set_faults,
            ('GET', '/counters'): self._get_counters,
            ('GET', '/started'): self._get_start_counts,
        }

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return the response, 409 for a refused call.

        Other endpoint errors drop the connection.
        """
        try:
            return await super().handle(req)
        except exceptions.CallRefused as exc:
            return messages.problem_response(409, 'refused', str(exc))
        except exceptions.EndpointError as exc:
            raise http_exceptions.DropConnection(str(exc)) from exc

    async def _start(self, req: messages.Request) -> messages.Response:
        body = _routing.decode_body(req, wire.StartBatchRequest)
        requests = [entry.to_start_request() for entry in body.orders]
        results = await self._endpoint.start(requests)
        return _routing.json_response(
            wire.StartReply(
                [
                    wire.StartResultEntry(r.task, r.started, r.detail)
                    for r in results
                ]
            )
        )

    async def _renew(self, req: messages.Request) -> messages.Response:
        body = _routing.decode_body(req, wire.RenewRequest)
        renewal = await self._endpoint.renew(body.tasks, body.lease)
        return _routing.json_response(
            wire.RenewReply(renewal.gone, renewal.clock)
        )

    async def _runs(self, req: messages.Request) -> messages.Response:
        listing = await self._endpoint.runs()
        return _runs_reply(
            listing.boot, listing.next_event, listing.runs, listing.clock
        )

    async def _events(self, req: messages.Request) -> messages.Response:
        after = int(_routing.parse_number(req, 'after', 0))
        batch = await self._endpoint.events(after, _routing.parse_wait(req))
        return _runs_reply(batch.boot, batch.next_event, batch.ended)

    async def _event_stream(self, req: messages.Request) -> messages.Response:
        after = int(_routing.parse_number(req, 'after', 0))
        wait = max(_routing.parse_wait(req), MIN_STREAM_WAIT_S)
        headers = {'content-type': 'application/x-ndjson'}
        return messages.Response(
            200, headers, self._stream_batches(after, wait)
        )

    async def _stream_batches(
        self, after: int, wait: float
    ) -> collections.abc.AsyncIterator[bytes]:
        yield b'\n'
        while True:
            try:
                batch = await self._endpoint.events(after, wait)
            except exceptions.EndpointError as exc:
                raise http_exceptions.DropConnection(str(exc)) from exc
            after = batch.next_event
            entries = [wire.build_run_entry(run) for run in batch.ended]
            message = wire.RunsReply(batch.boot, after, entries)
            yield msgspec.json.encode(message) + b'\n'

    async def _answer(self, req: messages.Request) -> messages.Response:
        task = req.query.get('task', '')
        attempt = int(_routing.parse_number(req, 'attempt', 0))
        return _bytes_response(await self._endpoint.answer(task, attempt))

    async def _checkpoint(self, req: messages.Request) -> messages.Response:
        body = _routing.decode_body(req, wire.CheckpointRequest)
        return _bytes_response(await self._endpoint.checkpoint(body.task))

    async def _throttle(self, req: messages.Request) -> messages.Response:
        body = _routing.decode_body(req, wire.ThrottleRequest)
        await self._endpoint.throttle(body.task, body.share)
        return _bytes_response(b'')

    async def _stop(self, req: messages.Request) -> messages.Response:
        body = _routing.decode_body(req, wire.StopRequest)
        await self._endpoint.stop(body.task, body.grace)
        return _bytes_response(b'')

    async def _usage(self, req: messages.Request) -> messages.Response:
        usage = await self._endpoint.usage()
        return _routing.json_response(
            wire.UsageReply([wire.build_usage_entry(entry) for entry in usage])
        )

    async def _set_faults(self, req: messages.Request) -> messages.Response:
        changes = _routing.decode_body(req, faults.WorkerFaults)
        await self._endpoint.set_faults(changes)
        return await self._get_counters(req)

    async def _get_counters(self, req: messages.Request) -> messages.Response:
        worker = self._endpoint.worker
        return _routing.json_response(
            {
                'worker': worker.info.name,
                'boot': worker.boot,
                'used': worker.used,
                'faults': dataclasses.asdict(worker.faults),
                'fleet': self._monitor.counters,
                'violations': self._monitor.counters.violations,
            }
        )

    async def _get_start_counts(
        self, req: messages.Request
    ) -> messages.Response:
        return _routing.json_response(self._monitor.start_counts)


def _runs_reply(
    boot: str, next_event: int, runs: list[base.Run], clock: float = 0.0
) -> messages.Response:
    entries = [wire.build_run_entry(run) for run in runs]
    return _routing.json_response(
        wire.RunsReply(boot, next_event, entries, clock)
    )


def _bytes_response(body: bytes) -> messages.Response:
    headers = {'content-type': 'application/octet-stream'}
    return messages.Response(200, headers, body)
