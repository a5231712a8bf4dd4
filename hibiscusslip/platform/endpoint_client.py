"""Give orders to an endpoint: start, stop, hold and pace runs."""

import dataclasses
import typing

import msgspec

from hibiscusslip.dispatch import model
from hibiscusslip.http import client
from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import messages
from hibiscusslip.platform import documents
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import settings

CONNECTIONS = 24
WRONG_INSTANCE = 421
REFUSING = (429, 503)
_HTTP = limits.Limits(
    connect_timeout=0.6, idle_timeout=20.0, tcp_user_timeout=2.0
)


class _Answer(msgspec.Struct, rename='pascal'):
    clock_ms: float | None = None
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StartRequest:
    """Hold one start; `deadline` is on the endpoint's clock, in seconds."""

    task: str
    run: int
    payload: str
    deadline: float
    fence: int
    checkpoint: str = ''
    ticket: str = ''


class EndpointClient:
    """Hold the connections to one incarnation of an endpoint."""

    def __init__(self, name: str, address: str) -> None:
        ip, _, port = address.rpartition(':')
        self._pool = client.Pool(ip, int(port), _HTTP, CONNECTIONS)
        self._headers = {
            'content-type': 'application/json',
            'x-expect-instance': name,
        }

    async def start(self, order: StartRequest, timeout: float) -> float | None:
        """Start a run; return the endpoint's clock.

        Raises OrderNotSent, OrderUnsettled, OrderRefused.
        """
        body: dict[str, typing.Any] = {
            'Task': order.task,
            'Run': order.run,
            'Spec': order.payload,
            'DeadlineMs': int(order.deadline * settings.MS_PER_S),
            'Fence': order.fence,
        }
        if order.checkpoint:
            body['LastCheckpoint'] = order.checkpoint
        if order.ticket:
            body['Ticket'] = order.ticket
        response = await self._call('/v1/run-start', body, timeout)
        return _clock(response)

    async def stop(
        self, task: str, run: int, fence: int, timeout: float
    ) -> None:
        """Stop a run; raises as `start` does."""
        body = {'Task': task, 'Run': run, 'Fence': fence}
        await self._call('/v1/run-stop', body, timeout)

    async def pace(
        self, task: str, run: int, percent: int, fence: int, timeout: float
    ) -> None:
        """Have a run work at a share of its speed; raises as `start`."""
        body = {'Task': task, 'Run': run, 'Percent': percent, 'Fence': fence}
        await self._call('/v1/pace', body, timeout)

    async def poll(
        self,
        deadline: float | None,
        fence: int,
        seen: int,
        wait: float,
        timeout: float,
    ) -> model.EndpointReport:
        """Extend the lease of all runs and return what is listed.

        `seen` is the number of the last end that is taken note of; the
        answer waits up to `wait` s for an end. Raises as `start` does.
        """
        body: dict[str, typing.Any] = {'Fence': fence, 'AckCursor': seen}
        if deadline is not None:
            body['DeadlineMs'] = int(deadline * settings.MS_PER_S)
        if wait > 0:
            body['WaitMs'] = int(wait * settings.MS_PER_S)
        response = await self._call('/v1/hold', body, timeout + wait)
        return documents.read_look(response.content)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()

    async def _call(
        self, path: str, body: dict[str, typing.Any], timeout: float
    ) -> messages.Response:
        try:
            response = await self._pool.call(
                'POST',
                path,
                body=msgspec.json.encode(body),
                headers=self._headers,
                timeout=timeout,
            )
        except http_exceptions.NotSent as exc:
            raise exceptions.RequestNotSent(str(exc)) from exc
        except http_exceptions.HttpError as exc:
            raise exceptions.RequestOutcomeUnknown(str(exc)) from exc
        if response.status == 200:
            return response
        raise _refusal(response)


def _refusal(response: messages.Response) -> Exception:
    if response.status == 409:
        answer = _decode(response)
        clock = answer.clock_ms
        return exceptions.RequestRefused(
            answer.reason or 'conflict', None if clock is None else int(clock)
        )
    if response.status == WRONG_INSTANCE:
        return exceptions.RequestRefused('instance')
    if response.status == 400:
        return exceptions.RequestRefused('invalid')
    if response.status in REFUSING:
        return exceptions.RequestRefused('unhealthy')
    return exceptions.RequestOutcomeUnknown(
        f'the endpoint answered {response.status}; look before repeating'
    )


def _decode(response: messages.Response) -> _Answer:
    try:
        return msgspec.json.decode(response.content, type=_Answer)
    except msgspec.MsgspecError:
        return _Answer()


def _clock(response: messages.Response) -> float | None:
    clock = _decode(response).clock_ms
    return None if clock is None else clock / settings.MS_PER_S
