"""Check that an engine without organisations plans as before them.

The digests are those of the starts and stops at commit e814b0d, which had no
limits, shares, learned run times, speeds and copies.
"""

import hashlib

import pytest

from hibiscusslip.bench import dispatch_loads
from hibiscusslip.bench import dispatching

DIGESTS = {
    'timetable': 'a6f2496feb60c092',
    'reflow': 'e6f143cceeee22af',
    'layout': 'c6ee25658c5a51dc',
    'art': '686e9ce935ab597d',
}


class Replay(dispatching.Replay):
    """Digest the commands of a replay."""

    def __init__(self, *args):
        self.digest = hashlib.sha256()
        super().__init__(*args)

    def _start(self, start):
        self._add(start.endpoint, start.task.name, start.run)
        super()._start(start)

    def _stop(self, stop):
        self._add(stop.endpoint, stop.task, stop.run, stop.reason)
        super()._stop(stop)

    def _add(self, *fields):
        self.digest.update(repr((round(self._now, 3), *fields)).encode())


@pytest.mark.parametrize('seed, kind', list(enumerate(DIGESTS)))
def test_plan_is_the_same_as_before_organisations(seed, kind):
    bursts = (dispatch_loads.Burst(kind, 2.5, 1.0, 2.0),)
    replay = Replay(seed, dispatch_loads.LOADS['planning'], bursts)
    replay.run(3.0)
    assert replay.digest.hexdigest()[:16] == DIGESTS[kind]
