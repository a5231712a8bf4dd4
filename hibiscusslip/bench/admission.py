"""Replay jobs whose declared run times are off, and judge the rejections.

A rejection is wrong if the job would have been accepted had it declared its
usual run time; so is an acceptance if it would have been rejected. Halfway the
owner is replaced by one that knows all jobs but hasn't learned any run time.
Prints both, before and after the change of the owner, and how many of the
accepted jobs were of no use.
"""

import dataclasses

import cyclopts

from hibiscusslip.bench import dispatch_loads
from hibiscusslip.bench import organisations
from hibiscusslip.dispatch import admission
from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy as policies

LEARNED = policies.Policy(learned_run_times=True)
SECONDS = 40.0
NEW_OWNER_AT_S = 20.0
AFTER_CHANGE_S = 4.0  # of the owner, for which decisions are counted
FACTORS = (0.5, 0.7, 1.0, 1.4, 2.0)
SEEDS = (1, 2, 3)
QUEUE = 'batch'


def make_load(declared: tuple[float, float]) -> dispatch_loads.Load:
    """Return a load of 1.8 times what its pool can do.

    The jobs declare their usual run time times a factor within `declared`.
    """
    urgent = dispatch_loads.Kind(
        'urgent',
        'm',
        arrivals_per_s=4.0,
        tasks=2,
        cpu=4,
        run=1.0,
        priority=0,
        stretch=3.0,
    )
    batch = dispatch_loads.Kind(
        QUEUE,
        'm',
        arrivals_per_s=10.0,
        tasks=1,
        cpu=16,
        run=2.0,
        priority=1,
        stretch=1.5,
        declared=declared,
    )
    return dispatch_loads.Load(
        (urgent, batch), (dispatch_loads.Pool('m', 6, 32),)
    )


@dataclasses.dataclass(slots=True)
class Decisions:
    """Count the decisions about new jobs, and how many were wrong."""

    jobs: int = 0
    wrongly_rejected: int = 0
    wrongly_accepted: int = 0

    def add(self, rejected: bool, should_reject: bool) -> None:
        """Count a decision."""
        self.jobs += 1
        self.wrongly_rejected += rejected and not should_reject
        self.wrongly_accepted += should_reject and not rejected


class AdmissionReplay(organisations.OrganisationReplay):
    """Replay jobs of two queues, one of which declares wrong run times.

    `before_change` are the decisions about its jobs before the change of the
    owner, `after_change` those within `AFTER_CHANGE_S` after it. `useless` of
    `completed` accepted jobs took so long that they were of no use.
    """

    def __init__(self, seed: int, declared: tuple[float, float]) -> None:
        super().__init__(seed, make_load(declared), 4, policy=LEARNED)
        self.before_change = Decisions()
        self.after_change = Decisions()
        self.completed = 0
        self.useless = 0
        self._new_owner_at = self._now + NEW_OWNER_AT_S
        self._has_new_owner = False
        config = self._engine.config
        assert config is not None and config.organisations is not None
        generous = {  # so that only capacity is a reason to reject
            name: dataclasses.replace(item, weight=10 * item.weight)
            for name, item in config.organisations.items()
        }
        self._engine.config = dataclasses.replace(
            config, organisations=generous
        )

    def _step(self) -> None:
        if not self._has_new_owner and self._now >= self._new_owner_at:
            self._has_new_owner = True
            self._engine.estimates = self._new_estimates()
        super()._step()

    def _new_estimates(self) -> estimates.Estimates:
        """Return what a new owner expects."""
        initial = estimates.Estimates(LEARNED)
        initial.expect_initially(self._engine.estimates.reported_ratios())
        return initial

    def _rejects(
        self,
        job_id: str,
        kind: dispatch_loads.Kind,
        spec: model.JobSpec,
        organisation: str,
    ) -> bool:
        rejected = super()._rejects(job_id, kind, spec, organisation)
        if kind.name != QUEUE:
            return rejected
        config = self._engine.config
        assert config is not None
        forecast = self._engine.shares.forecast
        usual = dataclasses.replace(spec.steps[0], estimate=kind.run)
        rejection = admission.decide(
            job_id,
            dataclasses.replace(spec, steps=(usual,)),
            config.queues[kind.name],
            forecast.predictions.get(kind.name, admission.Prediction()),
            forecast.beyond_percents.get(organisation, 0),
        )
        if self._now < self._new_owner_at:
            self.before_change.add(rejected, rejection is not None)
        elif self._now < self._new_owner_at + AFTER_CHANGE_S:
            self.after_change.add(rejected, rejection is not None)
        return rejected

    def _count_completed(self) -> None:
        for job_id, (sent, allowed) in self._open_jobs.items():
            job = self._engine.jobs[job_id]
            if job.state is model.JobState.COMPLETED and job.queue == QUEUE:
                late = self._now - sent > estimates.LATE_FACTOR * allowed
                self.completed += 1
                self.useless += late
        super()._count_completed()


def replay(declared: tuple[float, float]) -> list[AdmissionReplay]:
    """Return the replays of all seeds."""
    replays = [AdmissionReplay(seed, declared) for seed in SEEDS]
    for item in replays:
        item.run(SECONDS)
    return replays


app = cyclopts.App(name='admission', help=__doc__)


@app.default
def main() -> None:
    """Replay declarations that are off by each factor, and by chance."""
    print('declared      before the change    4 s after it    of no use')
    print('              jobs  rej+  acc+   jobs  rej+  acc+  of completed')
    ranges = [(factor, factor) for factor in FACTORS]
    for declared in (*ranges, (min(FACTORS), max(FACTORS))):
        replays = replay(declared)
        row = [
            sum(getattr(getattr(item, part), field) for item in replays)
            for part in ('before_change', 'after_change')
            for field in ('jobs', 'wrongly_rejected', 'wrongly_accepted')
        ]
        row += [
            sum(item.useless for item in replays),
            sum(item.completed for item in replays),
        ]
        low, high = declared
        name = f'{low:g}' if low == high else f'{low:g} to {high:g}'
        print(f'{name:10}', *(f'{figure:6}' for figure in row), sep='')


if __name__ == '__main__':
    app()
