"""Serve operators' requests for one host's part of the fleet."""

import msgspec

from hibiscusslip.jobs import model
from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.model import work
from hibiscusslip.node import clock
from hibiscusslip.node import node as node_
from hibiscusslip.operator import service
from hibiscusslip.operator import views
from hibiscusslip.peer import messages

MAX_SAMPLE = 20


class LocalSelection(msgspec.Struct, frozen=True):
    """Represent the jobs of one host that match a selector.

    `count` is the number of all matching jobs, `sample` has at most
    MAX_SAMPLE of them.
    """

    count: int
    sample: list[service.JobSummary]


class HostView:
    """Execute operators' requests on this host only."""

    def __init__(self, node: node_.Node) -> None:
        self._node = node

    def register_handlers(self) -> None:
        """Register the handlers of calls made on an operator's behalf."""
        handler = self._node.handler
        handler.register(messages.StatusQuery, self._status)
        handler.register(messages.EventsQuery, self._events)
        handler.register(messages.SelectJobs, self._select)
        handler.register(messages.DrainEndpoint, self._drain_endpoint)
        handler.register(messages.StopHost, self._stop)

    def view(self) -> views.HostView:
        """Return the status of this host with its shards and kinds."""
        node = self._node
        now = clock.now()
        shards = []
        kinds: list[views.KindView] = []
        capacity = resources.NOTHING
        for runner in node.fleet.runners.values():
            summary = runner.engine.scheduler.summary(now)
            capacity = capacity + summary.capacity
            kinds.extend(summary.kinds)
            shards.append(
                views.ShardView(
                    str(runner.shard),
                    node.ownership.epoch(runner.shard.number),
                    sum(kind.queued for kind in summary.kinds),
                    sum(kind.running for kind in summary.kinds),
                )
            )
        merged = views.merge(0, '', [self._make_view(kinds, capacity)])
        return self._make_view(merged.kinds, capacity, shards)

    def _make_view(
        self,
        kinds: list[views.KindView],
        capacity: resources.Resources,
        shards: list[views.ShardView] | None = None,
    ) -> views.HostView:
        node = self._node
        draining = node.ownership.draining
        log_healthy = (
            node.feed.log_readable
            and node.ownership_driver.log_writable
            and node.writer.log_writable
        )
        return views.HostView(
            node.cfg.me.name,
            node.cfg.zone,
            views.HostCondition.DRAINING
            if draining
            else views.HostCondition.LIVE,
            node.cfg.me.incarnation,
            node.fleet.policy_version,
            views.LogHealth.GOOD if log_healthy else views.LogHealth.DOWN,
            shards or [],
            kinds,
            capacity,
        )

    def select(
        self, selector: service.Selector, cancel: bool
    ) -> LocalSelection:
        """Return the matching open jobs of owned shards.

        With `cancel` all of them are cancelled, not just the sample.
        """
        now = clock.now()
        count = 0
        sample: list[service.JobSummary] = []
        for runner in self._node.fleet.runners.values():
            if not runner.may_act(now):
                continue
            for job in list(runner.engine.jobs.values()):
                if not _matches(job, selector):
                    continue
                count += 1
                if len(sample) < MAX_SAMPLE:
                    sample.append(_make_job_summary(job, now))
                if cancel:
                    runner.engine.cancel(job.spec.job_id, now)
        return LocalSelection(count, sample)

    def get_drain_progress(self, name: str) -> messages.EndpointDraining:
        """Return whether an owned shard has an endpoint and how many tasks."""
        for runner in self._node.fleet.runners.values():
            view = runner.engine.endpoints.get(name)
            if view is not None:
                return messages.EndpointDraining(True, len(view.tasks))
        return messages.EndpointDraining(False, 0)

    async def _status(
        self, sender: places.HostId, body: messages.StatusQuery
    ) -> messages.PeerMessage:
        return messages.HostStatus(views.encode_host(self.view()))

    async def _events(
        self, sender: places.HostId, body: messages.EventsQuery
    ) -> messages.PeerMessage:
        events = self._node.history.latest(body.limit)
        return messages.HostStatus(msgspec.json.encode(events))

    async def _select(
        self, sender: places.HostId, body: messages.SelectJobs
    ) -> messages.PeerMessage:
        selector = service.Selector(
            body.team, body.kind, body.workload, body.outcome
        )
        selection = self.select(selector, body.cancel)
        if body.cancel:
            await self._node.fleet.wake()
        return messages.HostStatus(msgspec.json.encode(selection))

    async def _drain_endpoint(
        self, sender: places.HostId, body: messages.DrainEndpoint
    ) -> messages.PeerMessage:
        progress = self.get_drain_progress(body.endpoint)
        if progress.known:
            await self._node.drain_endpoint(body.endpoint)
        return progress

    async def _stop(
        self, sender: places.HostId, body: messages.StopHost
    ) -> messages.PeerMessage:
        self._node.stop_requested = True
        return messages.Done()


def _matches(job: model.Job, selector: service.Selector) -> bool:
    """Return whether a job is open, has its home here and matches.

    Offloaded tasks of another home are left to that home.
    """
    spec = job.spec
    if job.outcome.final or job.cancelled or job.guest_of is not None:
        return False
    outcome = selector.outcome
    return (
        selector.team in ('', spec.team)
        and selector.kind in ('', spec.kind)
        and selector.workload in ('', spec.workload)
        and outcome in ('', job.outcome.value)
    )


def _make_job_summary(job: model.Job, now: float) -> service.JobSummary:
    spec = job.spec
    queued = job.outcome == work.Outcome.QUEUED
    return service.JobSummary(
        spec.job_id,
        spec.team,
        spec.kind,
        spec.workload,
        'queued' if queued else 'running',
        spec.tasks,
        now - job.accepted_at,
    )
