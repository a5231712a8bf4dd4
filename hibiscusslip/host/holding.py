"""Hold the ownership of the cell: heartbeats, roll calls, release."""

import abc
import collections.abc
import dataclasses

import curio

from hibiscusslip.host import context
from hibiscusslip.host import notices
from hibiscusslip.host import ownership
from hibiscusslip.host import topics
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store

BEAT_TIMEOUT_S = 1.2
ROLL_CALL_S = 2.0
MOST_MISSED = 4
TIMES_ALONE = 2
ALONE_BEAT_S = 0.2  # until it is known whether the owner alone is turned away
LEAST_BEAT_GAP_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class RollCall:
    """Hold which hosts gave no answer, and which the store serves."""

    silent: list[str]
    served: list[str]


class Successors(abc.ABC):
    """Reach the hosts that may own the cell next."""

    @abc.abstractmethod
    async def release(self, notice: bytes, hosts: list[str]) -> bool:
        """Have one of some hosts write a release; tell whether one did."""

    @abc.abstractmethod
    async def served(self) -> list[str]:
        """Return a few hosts that say that the store serves them."""

    @abc.abstractmethod
    async def roll_call(self) -> RollCall:
        """Ask all other hosts whether the store serves them."""


class Holder:
    """Hold one epoch of the ownership until it is released or lost.

    `pending` tells how many jobs of each queue haven't begun, None until the
    owner has read them; `hand_over` ends the ownership in good order.
    """

    def __init__(
        self,
        ctx: context.Context,
        successors: Successors,
        epoch: int,
        pending: collections.abc.Callable[[], dict[str, int] | None],
        hand_over: collections.abc.Callable[
            [], collections.abc.Awaitable[None]
        ],
    ) -> None:
        self._ctx = ctx
        self._successors = successors
        self._epoch = epoch
        self._pending = pending
        self._hand_over = hand_over
        self._alone = 0

    async def beat(self) -> None:
        """Tell the other hosts of this owner for as long as it is one."""
        while self._ctx.ownership.held == self._epoch:
            sent = context.steady()
            beat = await curio.spawn(self._beat_once, sent, daemon=True)
            async with curio.ignore_after(ownership.BEAT_S):
                await beat.wait()  # the next doesn't wait for a late answer
            gap = ALONE_BEAT_S if self._alone else ownership.BEAT_S
            left = sent + gap - context.steady()
            await curio.sleep(max(left, LEAST_BEAT_GAP_S))

    async def _beat_once(self, sent: float) -> None:
        try:
            await self.notify(notices.BEAT)
        except exceptions.PlatformError as exc:
            self._ctx.store_fails(str(exc))
            self._ctx.log.note('beat_failed', error=str(exc)[:120])
            await self._release_if_alone()
            return
        self._ctx.ownership.confirm(sent)
        self._ctx.store_answers(context.steady())
        self._alone = 0

    async def _release_if_alone(self) -> None:
        """Have another host end this ownership if the store serves it.

        Nothing can be started without the store, so an owner that alone is
        turned away is best followed soon. Others may be served a moment
        earlier when the store is back, so that is seen twice before.
        """
        if self._ctx.store_ok(context.steady()):
            return
        served = await self._successors.served()
        self._alone = self._alone + 1 if served else 0
        held = self._ctx.ownership.held == self._epoch
        if self._alone < TIMES_ALONE or not held:
            return
        notice = notices.encode(self._notice(notices.RELEASE))
        if await self._successors.release(notice, served):
            self._ctx.log.note('owner_released', epoch=self._epoch)
            self._ctx.ownership.lose()

    async def call_roll(self) -> None:
        """Drop hosts that are silent for long; make way for a stronger one."""
        missed: dict[str, int] = {}
        while True:
            await curio.sleep(ROLL_CALL_S)
            called = await self._successors.roll_call()
            missed = {name: missed.get(name, 0) + 1 for name in called.silent}
            dead = [n for n, times in missed.items() if times >= MOST_MISSED]
            if not self._ctx.store_ok(context.steady()):
                continue
            if dead:
                await self._drop_hosts(dead)
            await self._yield_to_stronger(called.served)

    async def _yield_to_stronger(self, served: list[str]) -> None:
        """Hand over if a much stronger host is reached by the store.

        A weak host may have claimed while all strong ones were away; under
        full load it falls behind and tickets end before its starts are sent.
        """
        hosts = self._ctx.hosts
        strengths = [hosts[n].strength for n in served if n in hosts]
        strongest = max(strengths, default=0.0)
        if self._ctx.ownership.should_yield(strongest):
            self._ctx.log.note(
                'owner_yields',
                epoch=self._epoch,
                strength=round(self._ctx.ownership.strength, 2),
                strongest=round(strongest, 2),
            )
            await self._hand_over()

    async def _drop_hosts(self, names: list[str]) -> None:
        records = [store.keyed(name) for name in names]
        try:
            await self._ctx.store.append(topics.HOSTS, records, BEAT_TIMEOUT_S)
        except exceptions.PlatformError as exc:
            self._ctx.log.note('dropping_failed', error=str(exc)[:120])
            return
        self._ctx.log.note('hosts_dropped', hosts=names)

    async def notify(self, kind: str) -> None:
        """Write a heartbeat or a release; raises PlatformError."""
        record = notices.encode(self._notice(kind))
        await self._ctx.store.append(topics.OWNER, [record], BEAT_TIMEOUT_S)

    def _notice(self, kind: str) -> notices.OwnerNotice:
        cfg = self._ctx.cfg
        return notices.OwnerNotice(
            kind,
            self._epoch,
            cfg.name,
            self._ctx.incarnation,
            cfg.front.ip,
            cfg.ports[0],
            self._loads(),
        )

    def _loads(self) -> dict[str, notices.QueueLoad]:
        """Return the queues' loads; until they are read the former ones."""
        pending = self._pending()
        if pending is None:
            return self._ctx.ownership.known_loads()
        return {name: notices.QueueLoad(n) for name, n in pending.items()}
