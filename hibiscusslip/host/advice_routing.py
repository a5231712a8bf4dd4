"""Distribute calls to the advice service over the hosts of the cell.

The service handles one call at a time per host, and a call takes up to a
second, so a single host can't request advice for all steps of a busy cell. A
host that doesn't answer in time is avoided, and the call is repeated through
another one. Its whole zone may be partitioned, so the other hosts of that
zone are avoided briefly as well.
"""

from hibiscusslip.dispatch import advice_calls
from hibiscusslip.dispatch import commands
from hibiscusslip.host import context
from hibiscusslip.peer import base
from hibiscusslip.peer import exceptions as peer_exceptions
from hibiscusslip.peer import messages
from hibiscusslip.platform import advice
from hibiscusslip.platform import exceptions

TIMEOUT_SLACK_S = 0.3
TIMEOUT_SLACK_SHARE = 0.3  # of the expected time of queued calls and this one
AVOID_HOST_S = 3.0
AVOID_ZONE_S = 0.6
MAX_ATTEMPTS = 2
REMOTE_COST_S = 0.02
MAX_QUEUED_S = 1.0  # at the host with the least load; a ticket lasts 2 s


class AdviceRouter:
    """Route each advice call to the host with the lowest load.

    The load of a host is the expected duration, in seconds, of all calls that
    are in progress there.
    """

    def __init__(
        self,
        ctx: context.Context,
        service: advice.AdviceClient | None,
        peers: base.Peers,
    ) -> None:
        self._ctx = ctx
        self._name = ctx.cfg.name
        self._service = service
        self._peers = peers
        self._loads: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}

    async def request_advice(
        self, request: commands.AdviceRequest
    ) -> tuple[dict[str, str], float, float] | None:
        """Return tickets, their validity in s and its start, or None.

        The start is on the monotonic clock. None means that all attempts
        failed, or that all hosts that answer are busy for long.
        """
        for _ in range(MAX_ATTEMPTS):
            name = self._choose(context.monotonic(), request.cost)
            load = self._loads.get(name, 0.0)
            if load > MAX_QUEUED_S:
                self._ctx.metrics.count('advice_deferred')
                return None
            self._loads[name] = load + request.cost
            try:
                return await self._request_from(name, request, load)
            except (
                exceptions.PlatformError,
                peer_exceptions.PeerError,
            ) as exc:
                self._avoid_failed(name, exc, context.monotonic())
                self._ctx.log.note(
                    'advice_failed',
                    by=name,
                    step=request.step.name,
                    error=str(exc),
                )
            finally:
                self._loads[name] -= request.cost
        return None

    def count_advisers(self, now: float) -> int:
        """Return how many hosts may be called now; this one is always."""
        others = [name for name in self._ctx.hosts if name != self._name]
        return 1 + sum(self._is_usable(name, now) for name in others)

    def _is_usable(self, name: str, now: float) -> bool:
        return self._avoided_until.get(name, 0.0) <= now

    def _avoid_failed(self, name: str, exc: Exception, now: float) -> None:
        """Avoid a host for a while, and its zone if it didn't answer."""
        host = self._ctx.hosts.get(name)
        if host is not None and isinstance(exc, peer_exceptions.PeerUnsettled):
            for other in self._ctx.hosts.values():
                if other.zone == host.zone:
                    self._avoid(other.name, now + AVOID_ZONE_S)
        self._avoid(name, now + AVOID_HOST_S)

    def _avoid(self, name: str, until: float) -> None:
        self._avoided_until[name] = max(
            self._avoided_until.get(name, 0.0), until
        )

    def _choose(self, now: float, cost: float) -> str:
        names = self._candidates(cost)
        usable = [name for name in names if self._is_usable(name, now)]
        return min(usable or [self._name], key=self._load)

    def _candidates(self, cost: float) -> list[str]:
        """Return the candidates; some hosts are reserved for short calls."""
        me = self._name
        names = [me, *sorted(n for n in self._ctx.hosts if n != me)]
        if advice_calls.is_long_call(cost):
            return names[advice_calls.hosts_for_short_calls(len(names)) :]
        return names

    def _load(self, name: str) -> float:
        remote = 0.0 if name == self._name else REMOTE_COST_S
        return self._loads.get(name, 0.0) + remote

    async def _request_from(
        self, name: str, request: commands.AdviceRequest, load: float
    ) -> tuple[dict[str, str], float, float]:
        timeout = (load + request.cost) * (
            1.0 + TIMEOUT_SLACK_SHARE
        ) + TIMEOUT_SLACK_S
        names = list(request.endpoints)
        if name == self._name:
            eligible = await self.request_locally(
                request.step.name, names, timeout
            )
            return eligible.tickets, eligible.valid, context.monotonic()
        host = self._ctx.hosts[name]
        self._peers.set_address(name, host.address, host.port)
        query = messages.AdviceQuery(request.step.name, names)
        reply = await self._peers.call(name, query, timeout)
        if not isinstance(reply, messages.AdviceReply):
            raise peer_exceptions.PeerError(
                f'{name} replied to an advice query with another message'
            )
        return reply.tickets, reply.valid, context.monotonic() - reply.age

    async def request_locally(
        self, step: str, names: list[str], timeout: float
    ) -> advice.EligibleEndpoints:
        """Call the advice service from this host; raises PlatformError."""
        if self._service is None:
            raise exceptions.StoreUnavailable(
                'no advice service is set; add its address to the settings'
            )
        return await self._service.fetch_tickets(step, names, timeout)
