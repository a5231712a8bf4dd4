"""Serve one stand-in worker by HTTP."""

import collections.abc
import dataclasses

import msgspec

from hibiscusslip.endpoint import base
from hibiscusslip.endpoint import exceptions
from hibiscusslip.endpoint import wire
from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import messages
from hibiscusslip.standin import _front
from hibiscusslip.standin import faults
from hibiscusslip.standin import memory_endpoint
from hibiscusslip.standin import violations

MIN_STREAM_WAIT_S = 0.5


class WorkerHandler(_front.Front):
    """Answer an endpoint's calls, change faults and show counters.

    A call that the worker loses closes its connection without an answer.
    """

    def __init__(
        self,
        endpoint: memory_endpoint.MemoryEndpoint,
        watch: violations.Violations,
    ) -> None:
        super().__init__()
        self._endpoint = endpoint
        self._watch = watch
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
            ('GET', '/counters'): self._show_counters,
            ('GET', '/started'): self._show_started,
        }

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return the response to one call."""
        try:
            return await super().handle(req)
        except exceptions.CallRefused as exc:
            return messages.problem_response(409, 'refused', str(exc))
        except exceptions.EndpointError as exc:
            raise http_exceptions.DropConnection(str(exc)) from exc

    async def _start(self, req: messages.Request) -> messages.Response:
        body = _front.decode(req, wire.StartBatchRequest)
        orders = [entry.to_start_request() for entry in body.orders]
        results = await self._endpoint.start(orders)
        return _front.reply(
            wire.StartReply(
                [
                    wire.StartResultEntry(r.task, r.started, r.detail)
                    for r in results
                ]
            )
        )

    async def _renew(self, req: messages.Request) -> messages.Response:
        body = _front.decode(req, wire.RenewRequest)
        renewal = await self._endpoint.renew(body.tasks, body.lease)
        return _front.reply(wire.RenewReply(renewal.gone, renewal.clock))

    async def _runs(self, req: messages.Request) -> messages.Response:
        found = await self._endpoint.runs()
        return _runs_reply(
            found.boot, found.next_event, found.runs, found.clock
        )

    async def _events(self, req: messages.Request) -> messages.Response:
        after = int(_front.number(req, 'after', 0))
        found = await self._endpoint.events(after, _front.wait_of(req))
        return _runs_reply(found.boot, found.next_event, found.ended)

    async def _event_stream(self, req: messages.Request) -> messages.Response:
        after = int(_front.number(req, 'after', 0))
        wait = max(_front.wait_of(req), MIN_STREAM_WAIT_S)
        headers = {'content-type': 'application/x-ndjson'}
        return messages.Response(200, headers, self._lines(after, wait))

    async def _lines(
        self, after: int, wait: float
    ) -> collections.abc.AsyncIterator[bytes]:
        yield b'\n'
        while True:
            try:
                found = await self._endpoint.events(after, wait)
            except exceptions.EndpointError as exc:
                raise http_exceptions.DropConnection(str(exc)) from exc
            after = found.next_event
            entries = [wire.build_run_entry(run) for run in found.ended]
            batch = wire.RunsReply(found.boot, after, entries)
            yield msgspec.json.encode(batch) + b'\n'

    async def _answer(self, req: messages.Request) -> messages.Response:
        task = req.query.get('task', '')
        attempt = int(_front.number(req, 'attempt', 0))
        return _plain(await self._endpoint.answer(task, attempt))

    async def _checkpoint(self, req: messages.Request) -> messages.Response:
        body = _front.decode(req, wire.CheckpointRequest)
        return _plain(await self._endpoint.checkpoint(body.task))

    async def _throttle(self, req: messages.Request) -> messages.Response:
        body = _front.decode(req, wire.ThrottleRequest)
        await self._endpoint.throttle(body.task, body.share)
        return _plain(b'')

    async def _stop(self, req: messages.Request) -> messages.Response:
        body = _front.decode(req, wire.StopRequest)
        await self._endpoint.stop(body.task, body.grace)
        return _plain(b'')

    async def _usage(self, req: messages.Request) -> messages.Response:
        usage = await self._endpoint.usage()
        return _front.reply(
            wire.UsageReply([wire.build_usage_entry(entry) for entry in usage])
        )

    async def _set_faults(self, req: messages.Request) -> messages.Response:
        order = _front.decode(req, faults.WorkerFaults)
        await self._endpoint.set_faults(order)
        return await self._show_counters(req)

    async def _show_counters(self, req: messages.Request) -> messages.Response:
        worker = self._endpoint.worker
        return _front.reply(
            {
                'worker': worker.info.name,
                'boot': worker.boot,
                'used': worker.used,
                'faults': dataclasses.asdict(worker.faults),
                'fleet': self._watch.counters,
                'violations': self._watch.counters.violations,
            }
        )

    async def _show_started(self, req: messages.Request) -> messages.Response:
        return _front.reply(self._watch.started)


def _runs_reply(
    boot: str, next_event: int, runs: list[base.Run], clock: float = 0.0
) -> messages.Response:
    entries = [wire.build_run_entry(run) for run in runs]
    return _front.reply(wire.RunsReply(boot, next_event, entries, clock))


def _plain(body: bytes) -> messages.Response:
    headers = {'content-type': 'application/octet-stream'}
    return messages.Response(200, headers, body)
