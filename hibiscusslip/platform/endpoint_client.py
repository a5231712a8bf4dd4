"""Call an endpoint: start, stop, poll and pace its runs."""

import dataclasses
import typing

import msgspec

from hibiscusslip.dispatch import model
from hibiscusslip.http import client
from hibiscusslip.http import connection_budget
from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import messages
from hibiscusslip.http import uplink as uplinks
from hibiscusslip.platform import documents
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import settings

# An endpoint accepts 64. Those of an owner that lost power stay open there, so
# they have to suffice for several owners.
CONNECTIONS = 5
STATUS_WRONG_INSTANCE = 421
UNHEALTHY_STATUSES = (429, 503)
_HTTP = limits.Limits(
    connect_timeout=0.6, idle_timeout=20.0, tcp_user_timeout=2.0
)


class _Reply(msgspec.Struct, rename='pascal'):
    clock_ms: float | None = None
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StartRequest:
    """Represent a request to start a run.

    `deadline` is the end of the run's lease, in seconds on the endpoint's
    clock. `fence` is the fencing token: the endpoint refuses a request whose
    token is lower than one that it has seen. A run resumes from `checkpoint`
    if there is one, and `ticket` is the admission ticket of the advice
    service, if the queue requires one.
    """

    task: str
    run: int
    payload: str
    deadline: float
    fence: int
    checkpoint: str = ''
    ticket: str = ''


class EndpointClient:
    """Call one incarnation of an endpoint.

    Each call names the incarnation that it is meant for; another one refuses
    it with the reason 'instance'. `timeout` is in seconds and begins once
    `uplink` has sent what the host gave it before the call. `budget` bounds
    the idle connections to all endpoints.
    """

    def __init__(
        self,
        name: str,
        address: str,
        uplink: uplinks.Uplink,
        budget: connection_budget.ConnectionBudget | None = None,
    ) -> None:
        ip, _, port = address.rpartition(':')
        self._pool = client.Pool(
            ip, int(port), _HTTP, CONNECTIONS, uplink, budget
        )
        self._headers = {
            'content-type': 'application/json',
            'x-expect-instance': name,
        }

    async def start(
        self, request: StartRequest, timeout: float
    ) -> float | None:
        """Start a run; return the time on the endpoint's clock, if known.

        Raises RequestNotSent, RequestRefused, and RequestOutcomeUnknown if
        the run may have been started.
        """
        body: dict[str, typing.Any] = {
            'Task': request.task,
            'Run': request.run,
            'Spec': request.payload,
            'DeadlineMs': int(request.deadline * settings.MS_PER_S),
            'Fence': request.fence,
        }
        if request.checkpoint:
            body['LastCheckpoint'] = request.checkpoint
        if request.ticket:
            body['Ticket'] = request.ticket
        response = await self._call('/v1/run-start', body, timeout)
        return _clock_time(response)

    async def stop(
        self, task: str, run: int, fence: int, timeout: float
    ) -> None:
        """Stop a run; raises the same errors as `start`."""
        body = {'Task': task, 'Run': run, 'Fence': fence}
        await self._call('/v1/run-stop', body, timeout)

    async def pace(
        self, task: str, run: int, percent: int, fence: int, timeout: float
    ) -> None:
        """Limit a run to `percent` of its full speed.

        Raises the same errors as `start`.
        """
        body = {'Task': task, 'Run': run, 'Percent': percent, 'Fence': fence}
        await self._call('/v1/pace', body, timeout)

    async def poll(
        self,
        deadline: float | None,
        fence: int,
        acknowledged: int,
        wait: float,
        timeout: float,
    ) -> model.EndpointReport:
        """Renew the leases of all runs and return the endpoint's report.

        The leases are extended to `deadline` on the endpoint's clock; None
        leaves them as they are. The endpoint forgets the ended runs up to
        the number `acknowledged`. It delays its reply by up to `wait`
        seconds until a run ends (long poll). Raises the same errors as
        `start`.
        """
        body: dict[str, typing.Any] = {
            'Fence': fence,
            'AckCursor': acknowledged,
        }
        if deadline is not None:
            body['DeadlineMs'] = int(deadline * settings.MS_PER_S)
        if wait > 0:
            body['WaitMs'] = int(wait * settings.MS_PER_S)
        response = await self._call('/v1/hold', body, timeout, wait)
        return documents.read_endpoint_report(response.content)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()

    async def _call(
        self,
        path: str,
        body: dict[str, typing.Any],
        timeout: float,
        wait: float = 0.0,
    ) -> messages.Response:
        try:
            response = await self._pool.call(
                'POST',
                path,
                body=msgspec.json.encode(body),
                headers=self._headers,
                timeout=timeout,
                wait=wait,
            )
        except http_exceptions.OutOfDescriptors as exc:
            raise exceptions.ConnectionsExhausted(str(exc)) from exc
        except http_exceptions.NotSent as exc:
            raise exceptions.RequestNotSent(str(exc)) from exc
        except http_exceptions.HttpError as exc:
            raise exceptions.RequestOutcomeUnknown(str(exc)) from exc
        if response.status == 200:
            return response
        raise _to_exception(response)


def _to_exception(response: messages.Response) -> Exception:
    if response.status == 409:
        reply = _decode(response)
        clock = reply.clock_ms
        return exceptions.RequestRefused(
            reply.reason or 'conflict', None if clock is None else int(clock)
        )
    if response.status == STATUS_WRONG_INSTANCE:
        return exceptions.RequestRefused('instance')
    if response.status == 400:
        return exceptions.RequestRefused('invalid')
    if response.status in UNHEALTHY_STATUSES:
        return exceptions.RequestRefused('unhealthy')
    return exceptions.RequestOutcomeUnknown(
        f'the endpoint answered {response.status}; poll it before repeating'
    )


def _decode(response: messages.Response) -> _Reply:
    try:
        return msgspec.json.decode(response.content, type=_Reply)
    except msgspec.MsgspecError:
        return _Reply()


def _clock_time(response: messages.Response) -> float | None:
    clock = _decode(response).clock_ms
    return None if clock is None else clock / settings.MS_PER_S
