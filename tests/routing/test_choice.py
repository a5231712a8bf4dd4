"""Check that jobs spread over shards without herding."""

import collections
import random

from hibiscusslip.model import places
from hibiscusslip.peer import messages
from hibiscusslip.routing import choice
from tests.scheduler import samples


def load(number, queued=0, running=0, free=100, largest=8000, acc=0):
    return messages.ShardLoad(
        'z1', number, 1, free * 1000, free * 1024, acc, free, largest,
        8192, acc, queued, running,
    )  # fmt: skip


def test_stale_load_reports_do_not_cause_herding():
    router = choice.Router(random.Random(1))
    loads = [load(0, free=101)] + [load(i, queued=1) for i in range(1, 8)]
    chosen = collections.Counter(
        router.choose(samples.job(f'j{i}'), loads) for i in range(800)
    )
    assert max(chosen.values()) < 200
    assert min(chosen.values()) > 50


def test_a_loaded_shard_gets_fewer_jobs():
    router = choice.Router(random.Random(1))
    loads = [load(0, queued=5000), load(1), load(2)]
    chosen = collections.Counter(
        router.choose(samples.job(f'j{i}'), loads) for i in range(300)
    )
    assert chosen[places.Shard('z1', 0)] == 0


def test_shards_with_capacity_for_the_demand_are_preferred():
    router = choice.Router(random.Random(1))
    spec = samples.job('j', demand=samples.amount(acc=2))
    loads = [load(0), load(1, queued=900, acc=4), load(2)]
    assert router.choose(spec, loads) == places.Shard('z1', 1)
    assert router.choose(spec, loads[:1]) == places.Shard('z1', 0)
    assert router.choose(spec, []) is None


def test_a_new_load_report_resets_the_assigned_tasks():
    router = choice.Router(random.Random(1))
    loads = [load(0), load(1, queued=50)]
    for i in range(200):
        router.choose(samples.job(f'j{i}'), loads)
    router.reset_assigned(places.Shard('z1', 0))
    assert router.choose(samples.job('k'), loads).number == 0
