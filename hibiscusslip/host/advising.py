"""Spread calls to the advice service over the hosts of the cell.

The service handles one call at a time for each host, and a call takes up to
a second: one host alone couldn't ask for all steps of a busy cell.
"""

from hibiscusslip.dispatch import asking
from hibiscusslip.dispatch import commands
from hibiscusslip.host import context
from hibiscusslip.peer import base
from hibiscusslip.peer import exceptions as peer_exceptions
from hibiscusslip.peer import messages
from hibiscusslip.platform import advice
from hibiscusslip.platform import exceptions

SLACK_S = 0.8
AVOID_S = 3.0
REMOTE_COST_S = 0.02


class Advisers:
    """Choose for each call the host that is free soonest."""

    def __init__(
        self,
        ctx: context.Context,
        service: advice.AdviceService | None,
        peers: base.Peers,
    ) -> None:
        self._ctx = ctx
        self._service = service
        self._peers = peers
        self._loads: dict[str, float] = {}
        self._avoid: dict[str, float] = {}

    async def ask(
        self, ask: commands.Ask
    ) -> tuple[dict[str, str], float, float] | None:
        """Return tickets, their validity and when they began, or None."""
        now = context.steady()
        name = self._choose(now, ask.cost)
        load = self._loads.get(name, 0.0)
        self._loads[name] = load + ask.cost
        try:
            return await self._ask(name, ask, load)
        except (exceptions.PlatformError, peer_exceptions.PeerError) as exc:
            self._avoid[name] = context.steady() + AVOID_S
            self._ctx.log.note(
                'advice_failed', by=name, step=ask.step.name, error=str(exc)
            )
            return None
        finally:
            self._loads[name] -= ask.cost

    def _choose(self, now: float, cost: float) -> str:
        names = self._candidates(cost)
        usable = [n for n in names if self._avoid.get(n, 0.0) <= now]
        return min(usable or [self._ctx.cfg.name], key=self._load)

    def _candidates(self, cost: float) -> list[str]:
        """Return hosts; long calls leave some hosts to the short ones."""
        me = self._ctx.cfg.name
        names = [me, *sorted(n for n in self._ctx.hosts if n != me)]
        if asking.is_long(cost):
            return names[asking.short_advisers(len(names)) :]
        return names

    def _load(self, name: str) -> float:
        remote = 0.0 if name == self._ctx.cfg.name else REMOTE_COST_S
        return self._loads.get(name, 0.0) + remote

    async def _ask(
        self, name: str, ask: commands.Ask, load: float
    ) -> tuple[dict[str, str], float, float]:
        timeout = load + ask.cost + SLACK_S
        names = list(ask.endpoints)
        if name == self._ctx.cfg.name:
            told = await self.ask_here(ask.step.name, names, timeout)
            return told.tickets, told.valid, context.steady()
        host = self._ctx.hosts[name]
        self._peers.set_address(name, host.address, host.port)
        query = messages.AdviceQuery(ask.step.name, names)
        reply = await self._peers.call(name, query, timeout)
        if not isinstance(reply, messages.AdviceReply):
            raise peer_exceptions.PeerError(f'{name} gave no advice')
        return reply.tickets, reply.valid, context.steady() - reply.age

    async def ask_here(
        self, step: str, names: list[str], timeout: float
    ) -> advice.Eligible:
        """Call the advice service from this host; raises PlatformError."""
        if self._service is None:
            raise exceptions.StoreUnavailable('no advice service is set')
        return await self._service.ask(step, names, timeout)
