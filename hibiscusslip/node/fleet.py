"""Manage one runner for each shard that this host owns."""

import collections.abc
import dataclasses
import random

from loguru import logger

from hibiscusslip import scheduler
from hibiscusslip.jobs import engine as jobs_engine
from hibiscusslip.jobs import identity
from hibiscusslip.jobs import index as jobs_index
from hibiscusslip.jobs import model
from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.node import clock
from hibiscusslip.node import config
from hibiscusslip.node import shard_runner
from hibiscusslip.peer import messages
from hibiscusslip.scheduler import base as scheduler_base

MAX_REMOTE_CAPACITIES = 256
LOADS_TTL_SECONDS = 0.25
LIVE = places.EndpointState.LIVE
LEAVING = places.EndpointState.LEAVING
GONE = places.EndpointState.GONE

PopReceivedJobs = collections.abc.Callable[[int, int], list[model.Job]]


def _no_received_jobs(shard: int, epoch: int) -> list[model.Job]:
    return []


class Fleet:
    """Start and stop shard runners; pass on endpoints and configurations."""

    def __init__(
        self,
        cfg: config.NodeConfig,
        index: jobs_index.JobIndex,
        ids: collections.abc.Iterator[str],
        rng: random.Random,
        context: shard_runner.Context,
    ) -> None:
        self._cfg = cfg
        self._index = index
        self._ids = ids
        self._rng = rng
        self._context = context
        self._ownership = context.ownership
        self._endpoints: dict[str, places.EndpointInfo] = {}
        self._loads: list[messages.ShardLoad] = []
        self._loads_until = 0.0
        self._remote_capacities: list[resources.Resources] = []
        self._policy: scheduler_base.FleetPolicy | None = None
        self.runners: dict[int, shard_runner.ShardRunner] = {}
        self.pending: dict[int, int] = {}
        self._pop_received_jobs: PopReceivedJobs = _no_received_jobs

    def set_transfer_source(
        self, pop_received_jobs: 'PopReceivedJobs'
    ) -> None:
        """Set the function that returns the jobs of a transferred shard."""
        self._pop_received_jobs = pop_received_jobs

    async def add_acquired_shard(
        self, number: int, epoch: int, by_transfer: bool = False
    ) -> None:
        """Add a shard acquired at an epoch; it starts in `start_ready`.

        Without `by_transfer`, jobs received for the epoch are dropped: they
        are of a cancelled transfer, and may have run since.
        """
        await self.remove_shard(number)
        if not by_transfer:
            self._pop_received_jobs(number, epoch)
        self.pending[number] = epoch

    async def remove_shard(self, number: int) -> None:
        """Stop acting for a shard."""
        self.pending.pop(number, None)
        runner = self.runners.pop(number, None)
        if runner is not None:
            logger.info('shard {} is released', runner.shard)
            await runner.stop()

    async def start_ready(self) -> None:
        """Start the pending shards that this host may act for by now.

        Without a configuration no shard starts, as a scheduler needs a policy.
        """
        if self._policy is None:
            return
        now = clock.now()
        for number, epoch in list(self.pending.items()):
            if self._ownership.may_act(number, now):
                del self.pending[number]
                await self._start(number, epoch, now)

    async def _start(self, number: int, epoch: int, now: float) -> None:
        received_jobs = self._pop_received_jobs(number, epoch)
        assert self._policy is not None
        shard = places.Shard(self._cfg.zone, number)
        sched = scheduler.build(
            shard, self._policy, self._cfg.scheduler, self._rng
        )
        engine = jobs_engine.ShardEngine(
            shard, epoch, sched, self._cfg.engine, self._ids, now
        )
        for job in received_jobs + self._index.jobs(number, now):
            engine.restore(job)
        runner = shard_runner.ShardRunner(shard, epoch, engine, self._context)
        self.runners[number] = runner
        logger.info('shard {} is owned at epoch {}', shard, epoch)
        sched.set_remote_capacities(self._remote_capacities)
        await runner.set_endpoints(self._endpoints_of(shard))
        await runner.start()

    def _endpoints_of(self, shard: places.Shard) -> list[places.EndpointInfo]:
        count = self._cfg.shards_per_zone
        return [
            info
            for info in self._endpoints.values()
            if identity.shard_of_endpoint(info.name, info.zone, count) == shard
        ]

    async def set_endpoints(self, infos: list[places.EndpointInfo]) -> None:
        """Set the endpoints of this zone from the host list.

        An endpoint that left the list counts as gone: it gets no new work,
        and its runs end when their leases expire.
        """
        listed = {i.name: i for i in infos if i.zone == self._cfg.zone}
        # Endpoints come in few sizes, so this doesn't grow with the fleet.
        capacities = {i.capacity for i in infos if i.zone in self._cfg.zones}
        self._remote_capacities = sorted(capacities, key=str)[
            :MAX_REMOTE_CAPACITIES
        ]
        for name, known in self._endpoints.items():
            if name not in listed:
                listed[name] = _with_state(known, GONE)
        self._endpoints = listed
        await self.refresh_endpoints()

    async def refresh_endpoints(self) -> None:
        """Update the endpoints of all shards, drains included."""
        for name, info in self._endpoints.items():
            self._endpoints[name] = self._with_drain(info)
        for runner in list(self.runners.values()):
            runner.engine.scheduler.set_remote_capacities(
                self._remote_capacities
            )
            await runner.set_endpoints(self._endpoints_of(runner.shard))

    def _with_drain(self, info: places.EndpointInfo) -> places.EndpointInfo:
        """Return the endpoint, marked as leaving if operators drain it."""
        if info.name in self._index.drained and info.state == LIVE:
            return _with_state(info, LEAVING)
        return info

    async def set_policy(self, policy: scheduler_base.FleetPolicy) -> None:
        """Apply the policy of a newer configuration to all shards."""
        if self._policy and policy.version <= self._policy.version:
            return
        self._policy = policy
        for runner in list(self.runners.values()):
            runner.engine.scheduler.set_policy(policy, clock.now())
            await runner.wake()

    @property
    def policy_version(self) -> int:
        """Return the version of the policy in force, 0 without one."""
        return self._policy.version if self._policy else 0

    def loads(self) -> list[messages.ShardLoad]:
        """Return the loads of the shards that accept requests.

        Loads reach other hosts late anyway, so a result is reused for
        LOADS_TTL_SECONDS.
        """
        now = clock.now()
        if now < self._loads_until:
            return self._loads
        self._loads_until = now + LOADS_TTL_SECONDS
        self._loads = [
            _make_load(runner, self._ownership.epoch(runner.shard.number), now)
            for runner in self.runners.values()
            if runner.engine.is_open and runner.may_act(now)
        ]
        return self._loads

    async def wake(self) -> None:
        """Wake the loops of all shards."""
        for runner in list(self.runners.values()):
            await runner.wake()

    async def stop(self) -> None:
        """Stop the runners of all shards."""
        for number in list(self.runners):
            await self.remove_shard(number)


def _with_state(
    info: places.EndpointInfo, state: places.EndpointState
) -> places.EndpointInfo:
    return dataclasses.replace(info, state=state)


def _make_load(
    runner: shard_runner.ShardRunner, epoch: int, now: float
) -> messages.ShardLoad:
    summary = runner.engine.scheduler.summary(now)
    return messages.ShardLoad(
        zone=runner.shard.zone,
        number=runner.shard.number,
        epoch=epoch,
        free_cpu_milli=summary.free.cpu_milli,
        free_memory_mb=summary.free.memory_mb,
        free_accelerators=summary.free.accelerators,
        free_slots=summary.free.slots,
        largest_cpu_milli=summary.largest_free.cpu_milli,
        largest_memory_mb=summary.largest_free.memory_mb,
        largest_accelerators=summary.largest_free.accelerators,
        queued=sum(kind.queued for kind in summary.kinds),
        running=sum(kind.running for kind in summary.kinds),
    )
