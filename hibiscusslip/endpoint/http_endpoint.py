"""Implement calls to an endpoint with HTTP and JSON."""

import dataclasses
import typing
import urllib.parse

import msgspec

from hibiscusslip.endpoint import _event_reader
from hibiscusslip.endpoint import base
from hibiscusslip.endpoint import exceptions
from hibiscusslip.endpoint import wire
from hibiscusslip.http import client
from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import limits

CALL_CONNECTIONS = 4
TRANSFER_CONNECTIONS = 2
TRANSFER_TIMEOUT_S = 15.0
DEFAULT_TIMEOUT_S = 5.0
MIN_STREAM_WAIT_S = 0.5
REFUSED_STATUSES = (*range(400, 500), 503)


class HttpEndpoint(base.Endpoint):
    """Call the endpoint at one address.

    `timeout` in seconds bounds every call. The `wait` of events, the
    `grace` of a stop and TRANSFER_TIMEOUT_S for answers are added to it. It
    is also the TCP user timeout, the limit for data that stays
    unacknowledged, so that no start request arrives much later.

    Answers use a connection pool of their own, so that large ones don't
    delay starts and renewals. Events that are read in order with a wait of
    at least MIN_STREAM_WAIT_S use one streamed response; only one task at a
    time may read them.
    """

    def __init__(
        self,
        address: str,
        port: int,
        timeout: float = DEFAULT_TIMEOUT_S,
        bounds: limits.Limits = limits.DEFAULT,
    ) -> None:
        self._timeout = timeout
        bounds = dataclasses.replace(bounds, tcp_user_timeout=timeout)
        self._call_pool = client.Pool(address, port, bounds, CALL_CONNECTIONS)
        self._transfer_pool = client.Pool(
            address, port, bounds, TRANSFER_CONNECTIONS
        )
        self._events = _event_reader.EventReader(
            address, port, timeout, bounds
        )

    async def start(
        self, requests: list[base.StartRequest]
    ) -> list[base.StartResult]:
        """Start the requested runs in one call; return a result for each."""
        body = wire.StartBatchRequest(
            [wire.build_start_entry(request) for request in requests]
        )
        reply = await self._post(wire.START_PATH, body, wire.StartReply)
        return [
            base.StartResult(res.task, res.started, res.detail)
            for res in reply.results
        ]

    async def renew(self, tasks: list[str], lease: float) -> base.Renewal:
        """Renew leases for `lease` seconds; report tasks no longer running."""
        body = wire.RenewRequest(tasks, lease)
        reply = await self._post(wire.RENEW_PATH, body, wire.RenewReply)
        return base.Renewal(reply.gone, reply.clock)

    async def runs(self) -> base.RunListing:
        """Return the active and the recently ended runs."""
        body = await self._call('GET', wire.RUNS_PATH)
        reply = wire.decode(body, wire.RunsReply)
        runs = [entry.to_run() for entry in reply.runs]
        return base.RunListing(reply.boot, reply.next_event, runs, reply.clock)

    async def events(self, after: int, wait: float) -> base.EventBatch:
        """Return the runs that ended after event number `after`.

        Waits up to `wait` seconds for the first one.
        """
        if wait >= MIN_STREAM_WAIT_S:
            reply = await self._events.read(after, wait)
        else:
            path = f'{wire.EVENTS_PATH}?after={after}&wait={wait:g}'
            body = await self._call('GET', path, extra_timeout=wait)
            reply = wire.decode(body, wire.RunsReply)
        ended = [entry.to_run() for entry in reply.runs]
        return base.EventBatch(reply.boot, reply.next_event, ended)

    async def answer(self, task: str, attempt: int) -> bytes:
        """Return the complete answer of an ended run."""
        query = urllib.parse.urlencode({'task': task, 'attempt': attempt})
        path = f'{wire.ANSWER_PATH}?{query}'
        return await self._call(
            'GET',
            path,
            extra_timeout=TRANSFER_TIMEOUT_S,
            pool=self._transfer_pool,
        )

    async def checkpoint(self, task: str) -> bytes:
        """Make a task save its state; return the checkpoint."""
        body = msgspec.json.encode(wire.CheckpointRequest(task))
        return await self._call('POST', wire.CHECKPOINT_PATH, body)

    async def throttle(self, task: str, share: float) -> None:
        """Limit a task to `share` of its demand (0 < share <= 1)."""
        body = msgspec.json.encode(wire.ThrottleRequest(task, share))
        await self._call('POST', wire.THROTTLE_PATH, body)

    async def stop(self, task: str, grace: float) -> None:
        """Stop a task; it has `grace` seconds to terminate by itself."""
        body = msgspec.json.encode(wire.StopRequest(task, grace))
        await self._call('POST', wire.STOP_PATH, body, extra_timeout=grace)

    async def usage(self) -> list[base.Usage]:
        """Return the most recent usage measurement of each run."""
        body = await self._call('GET', wire.USAGE_PATH)
        reply = wire.decode(body, wire.UsageReply)
        return [entry.to_usage() for entry in reply.usage]

    async def close(self) -> None:
        """Close the connections."""
        await self._call_pool.close()
        await self._transfer_pool.close()
        await self._events.close()

    async def _post(
        self, path: str, message: msgspec.Struct, expected: typing.Any
    ) -> typing.Any:
        body = msgspec.json.encode(message)
        answer = await self._call('POST', path, body)
        return wire.decode(answer, expected)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        extra_timeout: float = 0.0,
        pool: client.Pool | None = None,
    ) -> bytes:
        timeout = self._timeout + extra_timeout
        selected_pool = pool or self._call_pool
        try:
            response = await selected_pool.call(
                method, path, body=body, timeout=timeout
            )
        except http_exceptions.NotSent as exc:
            raise exceptions.NotSent(str(exc)) from exc
        except http_exceptions.HttpError as exc:
            raise exceptions.CallUnsettled(str(exc)) from exc
        assert isinstance(response.body, bytes)
        if response.status == wire.STATUS_OK:
            return response.body
        text = response.body.decode('utf-8', 'replace')[:200]
        kind: type[exceptions.EndpointError] = exceptions.CallUnsettled
        if response.status in REFUSED_STATUSES:
            kind = exceptions.CallRefused
        raise kind(f'{path} responded with status {response.status}: {text}')
