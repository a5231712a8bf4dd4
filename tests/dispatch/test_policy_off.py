"""Check that optional decisions are off unless they are asked for.

The digest is that of the starts which commit e814b0d decided on the same
arrivals; any other start, endpoint, time or order changes it. The others are
those of the starts, stops and rejections that commit e8a2462 decided.
"""

import hashlib

from hibiscusslip.bench import dispatch_loads
from hibiscusslip.bench import dispatching
from hibiscusslip.bench import organisations
from hibiscusslip.dispatch import policy as policies
from tests.dispatch import test_replay

DIGEST = 'edd8e186a0dbe921'
PREEMPTING_DIGEST = '9676eadb23f64a7a'
ORGANISATIONS_DIGEST = 'f8578e28fad33007'
SECONDS = 5.0
BURST = (dispatch_loads.Burst('timetable', 2.5, 1.5, 4.5),)
SURGE = (organisations.Surge(('o1', 'o2'), 9.0, 0.5, 4.0),)


class StartRecorder(dispatching.Replay):
    """A replay that hashes every start with its time."""

    def __init__(self, policy):
        load = dispatch_loads.LOADS['planning']
        super().__init__(1, load, policy=policy)
        self.hash = hashlib.sha256()

    def _start(self, start):
        row = f'{self._now:.2f} {start.endpoint} {start.task.name} {start.run}'
        self.hash.update(f'{row}\n'.encode())
        super()._start(start)


def digest(policy):
    recorder = StartRecorder(policy)
    recorder.run(SECONDS)
    return recorder.hash.hexdigest()[: len(DIGEST)]


def test_plan_is_as_before_by_default():
    assert digest(policies.Policy()) == DIGEST


def test_digest_tells_plans_apart():
    assert digest(policies.Policy(learned_run_times=True)) != DIGEST


class DecisionRecorder(dispatching.Replay):
    """A replay that hashes every start, stop and rejection."""

    hash = hashlib.sha256()

    def _record(self, *fields):
        row = ' '.join(str(field) for field in fields)
        self.hash.update(f'{self._now:.2f} {row}\n'.encode())

    def _start(self, start):
        self._record('start', start.endpoint, start.task.name, start.run)
        super()._start(start)

    def _stop(self, stop):
        self._record('stop', stop.endpoint, stop.task, stop.run)
        super()._stop(stop)


class OrganisationsRecorder(
    DecisionRecorder, organisations.OrganisationReplay
):
    """Record the decisions while two organisations send too much."""

    def _rejects(self, job_id, *args):
        rejected = super()._rejects(job_id, *args)
        if rejected:
            self._record('rejected', job_id)
        return rejected


def record(recorder):
    recorder.hash = hashlib.sha256()
    recorder.run(SECONDS)
    return recorder.hash.hexdigest()[: len(DIGEST)]


def test_preemption_is_as_before_with_declared_run_times():
    events = []
    recorder = DecisionRecorder(
        1,
        test_replay.LOAD,
        BURST,
        policies.Policy(urgent_preemption=True),
        lambda event, **fields: events.append(event),
    )
    assert record(recorder) == PREEMPTING_DIGEST
    assert 'run_preempted' in events


def test_organisations_are_served_as_before_with_declared_run_times():
    recorder = OrganisationsRecorder(1, test_replay.LOAD, 20, BURST, SURGE)
    assert record(recorder) == ORGANISATIONS_DIGEST
    assert any(recorder.rejected.values())
