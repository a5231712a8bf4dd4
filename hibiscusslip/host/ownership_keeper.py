"""Keep the ownership of the cell: heartbeats, liveness checks, release."""

import abc
import collections.abc
import dataclasses

import curio

from hibiscusslip.dispatch import forecast as forecasts
from hibiscusslip.host import context
from hibiscusslip.host import lease_handover
from hibiscusslip.host import load_report
from hibiscusslip.host import notices
from hibiscusslip.host import ownership
from hibiscusslip.host import repeating
from hibiscusslip.host import topics
from hibiscusslip.host import wakeup_event
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store

APPEND_TIMEOUT_S = 1.2
LIVENESS_CHECK_PERIOD_S = 2.0
MAX_MISSED_CHECKS = 4
LONE_FAILURES_BEFORE_RELEASE = 2
# Until another check confirms that the store fails only the owner.
LONE_FAILURE_HEARTBEAT_INTERVAL_S = 0.2
MIN_HEARTBEAT_GAP_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessCheck:
    """The hosts that didn't reply, and those that the store serves."""

    unresponsive: list[str]
    with_store: list[str]


class Successors(abc.ABC):
    """Interface to the hosts that may own the cell next."""

    @abc.abstractmethod
    async def write_release(self, notice: bytes, hosts: list[str]) -> bool:
        """Return True if one of `hosts` has written a release notice."""

    @abc.abstractmethod
    async def find_hosts_with_store(self) -> list[str]:
        """Return a few hosts that report that the store serves them."""

    @abc.abstractmethod
    async def check_liveness(self) -> LivenessCheck:
        """Ask all other hosts whether the store serves them."""


class OwnershipKeeper:
    """Keep one epoch of the ownership until it is released or lost.

    `pending` returns how many jobs of each queue haven't begun, or None until
    the owner has recovered them; `release_ownership` ends the ownership
    gracefully. `get_forecast` returns what the heartbeats tell of new jobs'
    waits, or None, `get_ratios` the ratios of actual to declared run time, by
    queue. `notice_wakeup` has the next heartbeat written at once.
    """

    def __init__(
        self,
        ctx: context.Context,
        successors: Successors,
        epoch: int,
        handover: lease_handover.LeaseHandover,
        pending: collections.abc.Callable[[], dict[str, int] | None],
        release_ownership: collections.abc.Callable[
            [], collections.abc.Awaitable[None]
        ],
        get_forecast: collections.abc.Callable[
            [], forecasts.Forecast | None
        ] = lambda: None,
        get_ratios: collections.abc.Callable[[], dict[str, float]] = dict,
    ) -> None:
        self._ctx = ctx
        self._successors = successors
        self._epoch = epoch
        self._handover = handover
        self._pending = pending
        self._release_ownership = release_ownership
        self._get_forecast = get_forecast
        self._get_ratios = get_ratios
        self._lone_failures = 0
        self.notice_wakeup = wakeup_event.WakeupEvent()

    async def run_heartbeats(self) -> None:
        """Write heartbeats until the ownership ends."""
        while self._ctx.ownership.held_epoch == self._epoch:
            sent = context.monotonic()
            sending = await curio.spawn(
                self._send_heartbeat, sent, daemon=True
            )
            async with curio.ignore_after(ownership.HEARTBEAT_INTERVAL_S):
                await sending.wait()  # a late answer doesn't delay the next
            gap = (
                LONE_FAILURE_HEARTBEAT_INTERVAL_S
                if self._lone_failures
                else ownership.HEARTBEAT_INTERVAL_S
            )
            left = sent + gap - context.monotonic()
            await curio.sleep(MIN_HEARTBEAT_GAP_S)
            await self.notice_wakeup.wait(max(left - MIN_HEARTBEAT_GAP_S, 0))

    async def _send_heartbeat(self, sent: float) -> None:
        try:
            await self.write_notice(notices.HEARTBEAT)
        except exceptions.PlatformError as exc:
            self._ctx.record_store_failure(str(exc))
            self._ctx.log.note('beat_failed', error=str(exc)[:120])
            await self._release_on_lone_failure()
            return
        self._ctx.record_store_success(context.monotonic())
        self._lone_failures = 0

    async def _release_on_lone_failure(self) -> None:
        """Have a peer write the release if the store fails only this owner.

        Nothing can be started without the store, so a prompt failover is best
        when only the owner is affected. A store that recovers may serve the
        peers a moment earlier, so two checks in a row must agree.
        """
        if self._ctx.store_available(context.monotonic()):
            return
        candidates = await self._successors.find_hosts_with_store()
        self._lone_failures = self._lone_failures + 1 if candidates else 0
        held = self._ctx.ownership.held_epoch == self._epoch
        if self._lone_failures < LONE_FAILURES_BEFORE_RELEASE or not held:
            return
        notice = notices.encode(self._notice(notices.RELEASE))
        if await self._successors.write_release(notice, candidates):
            self._ctx.log.note('owner_released', epoch=self._epoch)
            self._ctx.ownership.lose()

    async def run_liveness_checks(self) -> None:
        """Drop hosts that stay unresponsive; yield to a stronger host."""
        missed: dict[str, int] = {}
        while True:
            await curio.sleep(LIVENESS_CHECK_PERIOD_S)
            liveness = await self._successors.check_liveness()
            missed = {
                name: missed.get(name, 0) + 1 for name in liveness.unresponsive
            }
            dead = [
                n for n, times in missed.items() if times >= MAX_MISSED_CHECKS
            ]
            if not self._ctx.store_available(context.monotonic()):
                continue
            if dead:
                await self._drop_hosts(dead)
            await self._yield_to_stronger(liveness.with_store)

    async def _yield_to_stronger(self, candidates: list[str]) -> None:
        """Release the ownership if the store serves a much stronger host.

        A weak host may have claimed while all strong ones were unavailable.
        Under full load it falls behind, and tickets expire before its starts
        are sent.
        """
        hosts = self._ctx.hosts
        own = self._ctx.ownership
        strongest = ownership.strongest(
            (hosts[n] for n in candidates if n in hosts), own.endpoints
        )
        if own.should_yield(strongest):
            self._ctx.log.note(
                'owner_yields',
                epoch=self._epoch,
                strength=round(own.effective_strength, 2),
                strongest=round(strongest, 2),
            )
            await self._release_ownership()

    async def _drop_hosts(self, names: list[str]) -> None:
        records = [store.encode_keyed(name) for name in names]
        try:
            await self._ctx.store.append(
                topics.HOSTS, records, APPEND_TIMEOUT_S
            )
        except exceptions.PlatformError as exc:
            self._ctx.log.note('dropping_failed', error=str(exc)[:120])
            return
        self._ctx.log.note('hosts_dropped', hosts=names)

    async def write_notice(self, kind: str, releases: bool = False) -> None:
        """Write a heartbeat or a release; raises PlatformError.

        With `releases` no lease may be granted after this one is composed.
        """
        record = notices.encode(self._notice(kind, releases))

        async def append(timeout: float, began: repeating.Began) -> int:
            return await self._ctx.store.append(
                topics.OWNER, [record], timeout
            )

        await repeating.call(self._ctx, append, APPEND_TIMEOUT_S)

    def _notice(
        self, kind: str, releases: bool = False
    ) -> notices.OwnerNotice:
        cfg = self._ctx.cfg
        loads = self._loads()
        now = context.monotonic()
        number, lapses = self._handover.next_notice(
            now, releases, self._ctx.other_hosts()
        )
        leases = self._handover.inheritance(now)
        return notices.OwnerNotice(
            kind,
            self._epoch,
            cfg.name,
            self._ctx.incarnation,
            cfg.front.ip,
            cfg.ports[0],
            loads or {},
            number,
            lapses,
            self._beyond_percents(),
            load_report.make_waits(self._current_forecast()),
            self._ctx.ownership.endpoints,
            loads is not None,
            leases.hosts_read,
            leases.inherited,
            leases.grants,
        )

    def _current_forecast(self) -> forecasts.Forecast | None:
        forecast = self._get_forecast()
        if forecast is None or not forecast.is_current(context.monotonic()):
            return None
        return forecast

    def _beyond_percents(self) -> dict[str, int]:
        forecast = self._current_forecast()
        return forecast.beyond_percents if forecast is not None else {}

    def _loads(self) -> dict[str, notices.QueueLoad] | None:
        """Return the queue loads, the former owner's until jobs are read.

        Returns None if neither are known.
        """
        pending = self._pending()
        if pending is None:
            known = self._ctx.ownership.known_loads()
            return None if known is None else load_report.repeat_loads(known)
        config = self._ctx.config
        queues = config.queues if config is not None else {}
        ratios = {
            name: ratio
            for name, ratio in self._get_ratios().items()
            if name in queues
        }
        return load_report.make_loads(
            pending, self._current_forecast(), ratios
        )
