"""Ask which endpoints a queue's policy allows for a step."""

import dataclasses

import msgspec

from hibiscusslip.http import client
from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import limits
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import settings

MOST_ENDPOINTS = 100
_HTTP = limits.Limits(connect_timeout=0.7, idle_timeout=20.0)
_HEADERS = {'content-type': 'application/json'}


class _Eligible(msgspec.Struct, rename='pascal'):
    eligible: list[tuple[str, str]] = []
    valid_ms: float = 2000.0


@dataclasses.dataclass(frozen=True, slots=True)
class EligibleEndpoints:
    """Hold a ticket for each endpoint that may run the step.

    `valid` is for how long the tickets hold, in seconds.
    """

    tickets: dict[str, str]
    valid: float


class AdviceClient:
    """Hold the connection to the advice service, one call at a time."""

    def __init__(self, address: settings.Address) -> None:
        self._pool = client.Pool(address.ip, address.port, _HTTP, 2)

    async def fetch_tickets(
        self, step: str, endpoints: list[str], timeout: float
    ) -> EligibleEndpoints:
        """Return tickets for a step; raises StoreUnavailable."""
        body = msgspec.json.encode(
            {'Step': step, 'Workers': endpoints[:MOST_ENDPOINTS]}
        )
        try:
            response = await self._pool.call(
                'POST',
                '/v1/advise',
                body=body,
                headers=_HEADERS,
                timeout=timeout,
            )
            if response.status != 200:
                raise exceptions.StoreUnavailable(
                    f'the advice service answered {response.status}'
                )
            told = msgspec.json.decode(response.content, type=_Eligible)
        except (http_exceptions.HttpError, msgspec.MsgspecError) as exc:
            raise exceptions.StoreUnavailable(
                f'no advice: {exc}; ask again'
            ) from exc
        valid = told.valid_ms / settings.MS_PER_S
        return EligibleEndpoints(dict(told.eligible), valid)

    async def close(self) -> None:
        """Close the connection."""
        await self._pool.close()
