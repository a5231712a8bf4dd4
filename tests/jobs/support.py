"""Drive a shard's engine step by step, without a node or endpoints."""

import random

from hibiscusslip import scheduler
from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.jobs import commands
from hibiscusslip.jobs import engine as jobs_engine
from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.model import work
from hibiscusslip.records import job as job_records
from hibiscusslip.scheduler import base as scheduler_base
from hibiscusslip.scheduler import limits

SHARD = places.Shard('z1', 0)
CAPACITY = resources.Resources(4000, 4096, 0, 8, 64)
DEMAND = resources.Resources(1000, 512, 0, 1, 1)
RunState = endpoint_base.RunState


def policy():
    """Return a policy with one kind and one team."""
    shares = {'print': scheduler_base.KindShare('print', 0.5, 1.0)}
    quotas = {
        't1': scheduler_base.TeamQuota(
            't1', resources.Resources(10**9, 10**9, 10**9, 10**9, 10**9)
        )
    }
    return scheduler_base.FleetPolicy(1, shares, quotas)


def endpoint(name, state=places.EndpointState.LIVE):
    """Return an endpoint as in the host list."""
    return places.EndpointInfo(
        name, 'z1', 'rack1', '127.0.0.1', 1, CAPACITY, state
    )


def spec(job_id='z1.0.rj1', **changes):
    """Return a job specification."""
    values = {'team': 't1', 'kind': 'print', 'demand': DEMAND}
    return work.JobSpec(job_id, **(values | changes))


class Bench:
    """Drive an engine under a manual clock and answer its commands."""

    def __init__(self, epoch=1, endpoints=('e1', 'e2'), jobs=()):
        self.now = 100.0
        sched = scheduler.build(
            SHARD, policy(), limits.Limits(), random.Random(1)
        )
        self.cfg = jobs_engine.EngineConfig()
        self.engine = jobs_engine.ShardEngine(
            SHARD,
            epoch,
            sched,
            self.cfg,
            jobs_engine.record_ids(f'h1.{epoch}'),
            self.now,
        )
        for job in jobs:
            self.engine.restore(job)
        for name in endpoints:
            self.engine.set_endpoint(endpoint(name), self.now)

    def tick(self, seconds=0.0):
        """Advance the clock, tick and return the engine's commands."""
        self.now += seconds
        self.engine.tick(self.now)
        return self.engine.pop_commands()

    def list_all(self, runs=None, boot='b1', names=None):
        """List the runs of all endpoints, or of those in `names`."""
        for name in names or list(self.engine.endpoints):
            present = (runs or {}).get(name, [])
            listing = endpoint_base.RunListing(boot, 0, present)
            self.engine.handle_run_listing(name, listing, self.now, self.now)

    def opened(self):
        """Open the shard with nothing running; return the bench itself."""
        self.tick()
        self.list_all()
        return self

    def starts(self, seconds=0.0):
        """Advance the clock; return (endpoint, start request) pairs."""
        requested = []
        for command in self.tick(seconds):
            if isinstance(command, commands.StartTasks):
                requested.extend((command.endpoint, r) for r in command.orders)
        return requested

    def confirm(self, issued, kind):
        """Confirm and return the records of a type among issued commands."""
        records = [
            c.record
            for c in issued
            if isinstance(c, commands.WriteRecord)
            and isinstance(c.record, kind)
        ]
        for record in records:
            self.engine.handle_record_confirmed(record.record_id, self.now)
        return records

    def confirm_start(self, endpoint, request):
        """Reply that a requested start succeeded."""
        result = endpoint_base.StartResult(request.task, True)
        self.engine.handle_start_results(endpoint, [result], self.now)

    def end_run(
        self, endpoint, request, state=RunState.SUCCEEDED, answer=b'ok'
    ):
        """Report that a run has ended."""
        run = run_of(request, state, answer)
        self.engine.handle_ended_runs(endpoint, 'b1', [run], self.now)


def run_of(request, state=RunState.RUNNING, answer=None):
    """Return the run of a start request."""
    return endpoint_base.Run(
        request.task,
        request.attempt,
        state,
        request.demand,
        request.tag,
        answer,
    )


def inherited_run(
    job, index=0, attempt=1, state=RunState.RUNNING, answer=None
):
    """Return a run that an earlier owner has started."""
    tag = job_records.encode_tag(SHARD.zone, SHARD.number, job)
    return endpoint_base.Run(
        work.task_id(job.job_id, index),
        attempt,
        state,
        job.demand,
        tag,
        answer,
    )
