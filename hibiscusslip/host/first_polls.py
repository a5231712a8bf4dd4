"""Open the sessions with the endpoints of a new owner in bounded steps."""

import collections.abc

import curio

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.host import context
from hibiscusslip.host import takeover

OpenSession = collections.abc.Callable[[str], collections.abc.Awaitable[None]]


class FirstPolls:
    """Open the sessions of one epoch step by step.

    A session polls its endpoint as soon as it is open. The pause between two
    steps ends later if the event loop is late, so a late owner slows down.
    """

    def __init__(self, ctx: context.Context, epoch: int) -> None:
        self._ctx = ctx
        self._epoch = epoch
        self._waiting: set[str] = set()

    def holds_back(self, name: str) -> bool:
        """Return True if an endpoint's first poll has to wait."""
        return name in self._waiting

    async def run(
        self,
        engine: engines.Engine,
        open_session: OpenSession,
    ) -> None:
        """Open the sessions with all endpoints of a recovered engine."""
        names = list(engine.endpoints)
        with_runs = {n for n in names if engine.endpoints[n].allocations}
        cfg = self._ctx.cfg
        rate = takeover.first_poll_rate(
            cfg.cpu_share * cfg.cores, cfg.link_mbps
        )
        steps = takeover.plan_first_polls(names, with_runs, rate)
        if len(steps) > 1:
            self._ctx.log.note(
                'first_polls_spread',
                epoch=self._epoch,
                endpoints=len(names),
                with_runs=len(with_runs),
                steps=len(steps),
                rate=round(rate),
            )
        try:
            await self._open_in_steps(steps, open_session)
        finally:
            self._waiting.clear()

    async def _open_in_steps(
        self,
        steps: list[list[str]],
        open_session: OpenSession,
    ) -> None:
        self._waiting.update(*steps)
        for number, names in enumerate(steps):
            if number:
                await curio.sleep(takeover.STEP_S)
            if self._ctx.ownership.held_epoch != self._epoch:
                return
            self._waiting.difference_update(names)
            for name in names:
                await open_session(name)
