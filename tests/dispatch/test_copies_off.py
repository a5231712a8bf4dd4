"""Check that nothing changes where no copies are wanted."""

import hashlib

import pytest

from hibiscusslip.bench import dispatch_loads
from hibiscusslip.bench import dispatching
from hibiscusslip.dispatch import policy
from tests.dispatch import test_replay

SECONDS = 3.0
BURST = dispatch_loads.Burst('timetable', 2.5, 1.0, 2.0)
# The commands of the engine before copies existed (commit e814b0d).
COMMANDS_BEFORE = {
    1: 'd3bfb9ef9e9cae67e429ba708724c5214425e7b95186d428994afb30fbeaa485',
    2: 'bba2c556a80142ccbfa447e7a6b78e247f2a8ddb31adc000dcf9c709b32a4ce8',
}


class Recording(dispatching.Replay):
    """A replay that records the commands of its engine."""

    def __init__(self, seed, **policies):
        super().__init__(seed, test_replay.LOAD, (BURST,))
        self._engine.policy = policy.Policy(**policies)
        self.digest = hashlib.sha256()

    def _execute_commands(self):
        engine = self._engine
        rows = [
            (s.endpoint, s.task.name, s.run, s.deadline, s.checkpoint)
            for s in engine.starts
        ]
        rows += [(s.endpoint, s.task, s.run, s.reason) for s in engine.stops]
        rows += [(r.step.name, r.endpoints) for r in engine.advice_requests]
        self.digest.update(repr(rows).encode())
        super()._execute_commands()


def commands_of(seed, **policies):
    replay = Recording(seed, **policies)
    replay.run(SECONDS)
    return replay.digest.hexdigest()


@pytest.mark.parametrize('seed', COMMANDS_BEFORE)
def test_engine_without_copies_decides_otherwise_than_before(seed):
    assert commands_of(seed) == COMMANDS_BEFORE[seed]


@pytest.mark.parametrize('seed', COMMANDS_BEFORE)
def test_copies_change_the_plan_of_steps_that_allow_none(seed):
    assert commands_of(seed, copies=True) == COMMANDS_BEFORE[seed]
