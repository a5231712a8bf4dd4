"""Check that optional decisions are off unless they are asked for.

The digest is that of the starts which commit e814b0d decided on the same
arrivals; any other start, endpoint, time or order changes it.
"""

import hashlib

from hibiscusslip.bench import dispatch_loads
from hibiscusslip.bench import dispatching
from hibiscusslip.dispatch import policy as policies

DIGEST = 'edd8e186a0dbe921'
SECONDS = 5.0


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
