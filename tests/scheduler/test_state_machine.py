"""Compare a scheduler with a simple oracle under random operations."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import limits
from tests.scheduler import samples

ENDPOINTS = ('e0', 'e1', 'e2')
KINDS = ('a', 'b')
TEAMS = ('t0', 't1', 't2')
RETRYABLE = (base.RunOutcome.FAILED, base.RunOutcome.STOPPED)


class Oracle(stateful.RuleBasedStateMachine):
    """Follow every task by itself and compare."""

    def __init__(self):
        super().__init__()
        bounds = limits.Limits(max_queued=40, max_queued_per_team=25)
        self.sched = samples.build(bounds)
        self.now = 0.0
        self.capacity = {}
        self.state = {}
        self.running = {}
        self.specs = {}
        self.adopted = set()
        self.ran = set()
        self.holds = {}
        self.remote = set()
        self.count = 0

    @stateful.rule(
        name=st.sampled_from(ENDPOINTS),
        cpu=st.integers(1, 8),
        acc=st.integers(0, 2),
        state=st.sampled_from(
            [places.EndpointState.LIVE] * 3 + [places.EndpointState.LEAVING]
        ),
    )
    def set_endpoint(self, name, cpu, acc, state):
        room = samples.amount(cpu * 1000, 4096, acc, 4, 8)
        info = samples.endpoint(name, f'r-{name}', room, state)
        self.sched.set_endpoint(info, self.now)
        self.capacity[name] = room
        self.state[name] = state
        if not self.fits(name):
            self.adopted.add(name)

    @stateful.rule(
        team=st.sampled_from(TEAMS),
        kind=st.sampled_from(KINDS),
        form=st.sampled_from(work.Form),
        urgency=st.sampled_from(work.Urgency),
        tasks=st.integers(1, 4),
        cpu=st.integers(0, 4),
        acc=st.integers(0, 1),
        repeatable=st.booleans(),
        deadline=st.none() | st.floats(0, 60),
    )
    def submit(self, team, kind, cpu, acc, deadline, **fields):
        self.count += 1
        spec = samples.job(
            f'j{self.count}',
            team,
            kind,
            demand=samples.amount(cpu * 1000, 512, acc),
            deadline=None if deadline is None else self.now + deadline,
            **fields,
        )
        answer = self.sched.submit(spec, self.now)
        if isinstance(answer, base.Refused):
            assert answer.detail
            assert self.sched.explain(spec.job_id, self.now) is None
            return
        self.specs[spec.job_id] = (spec, set(range(spec.tasks)))

    @stateful.rule(limit=st.integers(1, 20), wait=st.floats(0, 20))
    def decide(self, limit, wait):
        self.now += wait
        for job_id, wanted in list(self.holds.items()):
            if wanted.expires <= self.now:
                self.give_back(job_id)
        before = dict(self.running)
        decisions = self.sched.decide(self.now, limit)
        assert len(decisions) <= limit
        for decision in decisions:
            self.take(decision, before)

    def take(self, decision, before):
        if isinstance(decision, base.Start):
            self.started(decision)
        elif isinstance(decision, base.GangStart):
            for start in decision.placements:
                self.started(start)
            job_id = decision.job_id
            assert not self.specs[job_id][1], 'a gang started in part'
        elif isinstance(decision, base.Drop):
            spec, waiting = self.specs[decision.job_id]
            assert decision.job_id not in self.ran
            assert waiting, 'dropped a job of which nothing waits'
            assert decision.refusal.detail
            waiting.clear()
        elif isinstance(decision, base.Preempt):
            assert decision.task in before
            spec = self.specs[work.job_of(decision.task)][0]
            throttle = decision.method is base.ReclaimMethod.THROTTLE
            assert spec.repeatable or throttle
        elif isinstance(decision, base.RemoteHoldRequest):
            self.wanted(decision)

    def wanted(self, decision):
        spec, waiting = self.specs[decision.job_id]
        assert spec.form is work.Form.GANG
        assert decision.missing
        indices = set(decision.missing)
        for start in decision.local:
            indices.add(work.index_of(start.task))
            self.running[start.task] = (start.endpoint, spec.demand)
            assert self.fits(start.endpoint)
        assert indices == waiting
        self.holds[decision.job_id] = decision

    def give_back(self, job_id):
        for start in self.holds.pop(job_id).local:
            del self.running[start.task]

    @stateful.precondition(lambda self: self.holds)
    @stateful.rule(data=st.data(), commit=st.booleans())
    def settle_hold(self, data, commit):
        job_id = data.draw(st.sampled_from(sorted(self.holds)))
        if not commit:
            self.sched.release_hold(job_id, self.now)
            self.give_back(job_id)
            return
        assert self.sched.commit_hold(job_id, self.now)
        missing = self.holds.pop(job_id).missing
        self.remote.update(work.task_id(job_id, i) for i in missing)
        self.specs[job_id][1].clear()
        self.ran.add(job_id)

    def started(self, start):
        job_id = work.job_of(start.task)
        spec, waiting = self.specs[job_id]
        waiting.remove(work.index_of(start.task))
        assert self.state[start.endpoint] is places.EndpointState.LIVE
        assert start.task not in self.running
        self.running[start.task] = (start.endpoint, spec.demand)
        self.ran.add(job_id)
        assert self.fits(start.endpoint)

    def settled(self):
        held = {s.task for w in self.holds.values() for s in w.local}
        return sorted(set(self.running) - held)

    @stateful.precondition(lambda self: self.settled())
    @stateful.rule(
        data=st.data(),
        how=st.sampled_from(base.RunOutcome),
        again=st.booleans(),
    )
    def end(self, data, how, again):
        task = data.draw(st.sampled_from(self.settled()))
        del self.running[task]
        self.sched.ended(task, how, self.now)
        if again and how in RETRYABLE:
            self.sched.requeue(task, self.now, data.draw(st.floats(0, 5)))
            waiting = self.specs[work.job_of(task)][1]
            waiting.add(work.index_of(task))

    @stateful.precondition(lambda self: self.specs)
    @stateful.rule(data=st.data())
    def cancel(self, data):
        job_id = data.draw(st.sampled_from(sorted(self.specs)))
        booked = self.sched.cancel(job_id, self.now)
        self.specs[job_id][1].clear()
        if job_id in self.holds:
            self.give_back(job_id)
        tasks = set(self.running) | self.remote
        mine = {t for t in tasks if work.job_of(t) == job_id}
        assert set(booked) == mine

    @stateful.rule(name=st.sampled_from(ENDPOINTS))
    def lose(self, name):
        lost = self.sched.endpoint_lost(name, self.now)
        mine = {t for t, (e, _) in self.running.items() if e == name}
        assert set(lost) == mine
        for task in mine:
            del self.running[task]
            for wanted in self.holds.values():
                if work.job_of(task) == wanted.job_id:
                    kept = [s for s in wanted.local if s.task != task]
                    wanted.local[:] = kept
        self.capacity.pop(name, None)
        self.adopted.discard(name)

    @stateful.rule(name=st.sampled_from(ENDPOINTS), cpu=st.integers(0, 9))
    def adopt(self, name, cpu):
        self.count += 1
        demand = samples.amount(cpu * 1000)
        spec = samples.job(f'x{self.count}', demand=demand)
        task = work.task_id(spec.job_id, 0)
        self.sched.adopt(spec, task, name, self.now)
        self.specs[spec.job_id] = (spec, set())
        self.running[task] = (name, demand)
        self.adopted.add(name)

    def booked(self, name):
        total = samples.amount(0, 0, 0, 0, 0)
        for endpoint, demand in self.running.values():
            if endpoint == name:
                total += demand
        return total

    def fits(self, name):
        return self.booked(name).fits_in(self.capacity[name])

    @stateful.invariant()
    def never_overcommitted(self):
        for name in self.capacity:
            assert name in self.adopted or self.fits(name)

    @stateful.invariant()
    def counts_agree(self):
        summary = self.sched.summary(self.now)
        running = sum(kind.running for kind in summary.kinds)
        assert running == len(self.running)
        queued = sum(kind.queued for kind in summary.kinds)
        rows = self.specs.items()
        assert queued == sum(
            len(waiting)
            for job_id, (_, waiting) in rows
            if job_id not in self.holds
        )

    @stateful.invariant()
    def nothing_is_lost(self):
        for job_id, (_, waiting) in self.specs.items():
            found = self.sched.explain(job_id, self.now)
            assert (found is not None) == bool(waiting)


TestOracle = Oracle.TestCase
TestOracle.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
