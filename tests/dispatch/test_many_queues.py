"""Check that what is indexed by queue is the same as by plain iteration.

Guards against a faster way that decides differently: the plain ways are kept
here. The inputs are random, with fixed seeds, and have queues that share
hosts, prefixes, services and priorities.
"""

import dataclasses
import random

import msgspec
import pytest

from hibiscusslip.dispatch import _headroom
from hibiscusslip.dispatch import model
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
