"""Request placement advice: which endpoints may run a step.

The advice service applies the policy of the step's queue.
"""

import dataclasses

import msgspec

from hibiscusslip.http import client
from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import limits
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import settings

MAX_ENDPOINTS = 100
_HTTP = limits.Limits(connect_timeout=0.7, idle_timeout=20.0)
_HEADERS = {'content-type': 'application/json'}


class _Eligible(msgspec.Struct, rename='pascal'):
    eligible: list[tuple[str, str]] = []
    valid_ms: float = 2000.0


@dataclasses.dataclass(frozen=True, slots=True)
class EligibleEndpoints:
    """Represent the endpoints that may run a step.

    `tickets` maps each endpoint's name to the admission ticket that a start
    request has to present there. The tickets expire after `valid` seconds.
    """

    tickets: dict[str, str]
    valid: float


class AdviceClient:
    """Call the advice service, which handles one call at a time per host."""

    def __init__(self, address: settings.Address) -> None:
        self._pool = client.Pool(address.ip, address.port, _HTTP, 2)

    async def fetch_tickets(
        self, step: str, endpoints: list[str], timeout: float
    ) -> EligibleEndpoints:
        """Return the endpoints that may run a step, with their tickets.

        Only the first MAX_ENDPOINTS of `endpoints` are considered. `timeout`
        is in seconds. Raises StoreUnavailable on any failure; a call changes
        nothing, so it may be repeated.
        """
        body = msgspec.json.encode(
            {'Step': step, 'Workers': endpoints[:MAX_ENDPOINTS]}
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
            advice = msgspec.json.decode(response.content, type=_Eligible)
        except (http_exceptions.HttpError, msgspec.MsgspecError) as exc:
            raise exceptions.StoreUnavailable(
                f'no advice: {exc}; ask again'
            ) from exc
        valid = advice.valid_ms / settings.MS_PER_S
        return EligibleEndpoints(dict(advice.eligible), valid)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()
