"""Check that what is indexed by queue is the same as by plain iteration.

Guards against a faster way that decides differently: the plain ways are kept
here. The inputs are random, with fixed seeds, and have queues that share
hosts, prefixes, services and priorities.
"""

import dataclasses
import random
import types

import msgspec
import pytest

from hibiscusslip.dispatch import _headroom
from hibiscusslip.dispatch import admission
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import occupancy
from tests.dispatch import support

SERVICES = ('planner', 'print', 'idle')


def random_config(rng, organisations):
    queues = [
        dataclasses.replace(
            support.queue(f'q{number}'),
            host=rng.choice(('a', 'b')),
            prefix='/' + ''.join(rng.choices('xy/', k=rng.randrange(4))),
            service=rng.choice(SERVICES[: rng.randint(1, 3)]),
            priority=rng.randrange(4),
        )
        for number in range(rng.randrange(30))
    ]
    return dataclasses.replace(
        support.config(*queues),
        organisations={} if organisations else None,
    )


def find_plainly(config, host, path):
    best = None
    for queue in config.queues.values():
        if queue.host == host and path.startswith(queue.prefix):
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
    return best


def find_urgent_plainly(config, service):
    found = {
        queue.priority
        for queue in config.queues.values()
        if queue.service == service
    }
    if config.organisations is None and len(found) < 2:
        return None
    return min(found, default=None)


@pytest.mark.parametrize('seed', range(20))
def test_index_finds_the_same_queues_and_priorities(seed):
    rng = random.Random(seed)
    config = random_config(rng, seed % 2)
    for _ in range(100):
        path = '/' + ''.join(rng.choices('xy/', k=rng.randrange(6)))
        host = rng.choice(('a', 'b', 'c'))
        found = config.find_queue(host, path)
        assert found is find_plainly(config, host, path)
    for service in SERVICES:
        expected = find_urgent_plainly(config, service)
        assert _headroom.urgent_priority(config, service) == expected


def test_index_is_of_one_version_and_no_part_of_it():
    """Hosts would find removed queues, or send each other the index."""
    config = support.config(support.queue('q'))
    encoded = msgspec.msgpack.encode(config)
    queue = config.find_queue('a.example', '/q/1')
    assert queue is config.queues['q']
    assert msgspec.msgpack.encode(config) == encoded
    assert config == msgspec.msgpack.decode(encoded, type=model.Configuration)
    later = dataclasses.replace(config, queues={})
    assert later.find_queue('a.example', '/q/1') is None


class Inputs:
    """The random inputs of a forecast for the queues of `config`."""

    def __init__(self, rng, config):
        self.config = config
        self.ranked = [self._waiting(rng) for _ in range(rng.randrange(12))]
        self.capacities = {
            name: (rng.uniform(0, 30), rng.uniform(0, 5))
            for name in SERVICES[:2]
        }
        names = [*config.queues, 'removed', 'unknown']
        keys = [(n, b) for n in names for b in (False, True)]
        rng.shuffle(keys)
        self.arrivals = {k: self._work(rng, 3) for k in keys[:8]}
        self.releases = {
            name: sorted(
                (self._release(rng) for _ in range(rng.randrange(4))),
                key=lambda release: release.after,
            )
            for name in SERVICES
        }
        self.estimator = types.SimpleNamespace(
            expect=lambda step: types.SimpleNamespace(median=step.run_time)
        )

    def _work(self, rng, most):
        return rng.uniform(0, most), rng.choice((0.0, rng.uniform(0, most)))

    def _release(self, rng):
        chances = rng.randrange(4), rng.random() < 0.5
        return occupancy.Release(
            rng.uniform(0, 20), self._work(rng, 2), *chances
        )

    def _waiting(self, rng):
        rank = types.SimpleNamespace(
            expired=rng.random() < 0.1,
            beyond=rng.random() < 0.4,
            priority=rng.randrange(4),
        )
        step = types.SimpleNamespace(
            spec=support.step(accelerators=rng.randrange(2)),
            job=types.SimpleNamespace(service=rng.choice(SERVICES)),
            run_time=rng.uniform(0.1, 9),
            waiting=lambda count=rng.randrange(1, 9): range(count),
        )
        return rank, step

    def predict(self):
        return admission.predict(
            self.ranked,
            self.config,
            self.capacities,
            self.arrivals,
            self.estimator,
            self.releases.__getitem__,
        )

    def predict_plainly(self):
        backlogs = {}
        for rank, step in self.ranked:
            if not rank.expired:
                work = admission._work_of_waiting(step, self.estimator)
                backlogs.setdefault(
                    step.job.service, admission._Backlog()
                ).add((rank.beyond, rank.priority), work)
        return {
            queue.name: admission.Prediction(
                *(self._wait(queue, backlogs, b) for b in (False, True))
            )
            for queue in self.config.queues.values()
        }

    def _wait(self, queue, backlogs, beyond):
        key = (beyond, queue.priority)
        own = [self.arrivals.get((queue.name, b)) for b in (False, True)]
        overtaking = admission._sum(
            work
            for other in self.config.queues.values()
            for ahead in (False, True)
            if other.service == queue.service
            and (ahead, other.priority) < key
            and (work := self.arrivals.get((other.name, ahead)))
        )
        if queue.service not in backlogs:
            return 0.0
        releases = self.releases[queue.service]
        return admission._wait(
            backlogs[queue.service].ahead_of(key),
            self.capacities.get(queue.service, (0.0, 0.0)),
            overtaking,
            any(work[1] for work in own if work),
            [r for r in releases if r.blocks(beyond, queue.priority)],
        )


@pytest.mark.parametrize('seed', range(40))
def test_predictions_are_the_same_for_all_queues(seed):
    rng = random.Random(seed)
    inputs = Inputs(rng, random_config(rng, True))
    assert inputs.predict() == inputs.predict_plainly()
