"""Ask other hosts what decides until when leases are extended.

While the store doesn't serve an owner, the others vouch that they don't claim.
While a new owner waits for leases of the former one, that one's host may tell
that it has ended.
"""

import abc
import collections.abc

import curio

from hibiscusslip.host import context
from hibiscusslip.host import lease_timing
from hibiscusslip.host import notices

ASK_AFTER_S = 0.9  # without a heartbeat that is known to be in the log
ASK_PERIOD_S = 0.4
ENDED_PERIOD_S = 0.5
MAX_LOGGED_HOSTS = 5


class LeasePeers(abc.ABC):
    """Interface to the other hosts."""

    @abc.abstractmethod
    async def ask_to_vouch(self, names: list[str], epoch: int) -> list[str]:
        """Return the hosts that vouch for the owner of an epoch."""

    @abc.abstractmethod
    async def has_ended(self, owner: notices.OwnerNotice) -> bool:
        """Return True if the owner's host says that it isn't the owner."""


class Vouching:
    """Have other hosts vouch for the owner of one epoch."""

    def __init__(
        self, ctx: context.Context, peers: LeasePeers, epoch: int
    ) -> None:
        self._ctx = ctx
        self._peers = peers
        self._epoch = epoch
        self._was_stopped = False

    async def run(self) -> None:
        """Ask whenever no heartbeat is confirmed, until the epoch ends."""
        while True:
            await curio.sleep(ASK_PERIOD_S)
            now = context.monotonic()
            if self._ctx.ownership.held_epoch != self._epoch:
                continue
            if self._is_due(now):
                await self._ask(now)
            self._log_change(context.monotonic())

    def _is_due(self, now: float) -> bool:
        silent_for = now - self._ctx.ownership.renewal.confirmed_at
        return ASK_AFTER_S <= silent_for < lease_timing.RENEWAL_LIMIT_S

    async def _ask(self, now: float) -> None:
        renewal = self._ctx.ownership.renewal
        names = sorted(renewal.relied_on())
        for name in await self._peers.ask_to_vouch(names, self._epoch):
            renewal.record_vouch(name, now)

    def _log_change(self, now: float) -> None:
        """Log when leases can't be extended any more, and when they can."""
        renewal = self._ctx.ownership.renewal
        stopped = not renewal.allows(now) and not renewal.held_back
        if stopped == self._was_stopped:
            return
        self._was_stopped = stopped
        missing = renewal.missing_vouches(now)
        silent_s = round(now - renewal.confirmed_at, 2)
        if stopped:
            self._ctx.metrics.count('renewals_stopped')
            self._ctx.log.note(
                'renewals_stopped',
                epoch=self._epoch,
                silent_s=silent_s,
                missing=len(missing),
                hosts=missing[:MAX_LOGGED_HOSTS],
            )
        else:
            self._ctx.log.note(
                'renewals_resumed', epoch=self._epoch, silent_s=silent_s
            )


class FormerOwner:
    """Find out whether the former owner has ended.

    `shorten` is called once it has, if leases end earlier then.
    """

    def __init__(
        self,
        ctx: context.Context,
        peers: LeasePeers,
        epoch: int,
        shorten: collections.abc.Callable[[], None],
    ) -> None:
        self._ctx = ctx
        self._peers = peers
        self._epoch = epoch
        self._shorten = shorten

    async def run(self) -> None:
        """Ask until it has ended, or its leases have anyway."""
        while self._is_awaited(context.monotonic()):
            if await self._ask():
                break
            await curio.sleep(ENDED_PERIOD_S)
        while True:  # a return would end the owner's task group
            await curio.sleep(3600)

    def _is_awaited(self, now: float) -> bool:
        own = self._ctx.ownership
        return (
            own.held_epoch == self._epoch
            and own.predecessor is not None
            and own.predecessor.host != self._ctx.cfg.name
            and own.inherited is not None
            and now < own.inherited.until
        )

    async def _ask(self) -> bool:
        own = self._ctx.ownership
        former = own.predecessor
        assert former is not None
        if not await self._peers.has_ended(former):
            return False
        now = context.monotonic()
        shortens = own.note_former_end(now)
        assert own.inherited is not None
        self._ctx.log.note(
            'former_owner_ended',
            epoch=former.epoch,
            owner=former.host,
            leases_end_s=round(max(own.inherited.until - now, 0.0), 2),
            shortens=shortens,
        )
        if shortens:
            self._shorten()
        return True
