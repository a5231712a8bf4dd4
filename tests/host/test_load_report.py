"""Check what heartbeats tell of queues, beside the plain way.

Guards against hosts that reject other jobs than if each queue with a wait were
named, and against heartbeats that grow with the number of idle queues.
"""

import dataclasses
import random
import types

import msgspec
import pytest

from hibiscusslip.dispatch import admission
from hibiscusslip.host import load_report
from hibiscusslip.host import notices
from tests.dispatch import support
from tests.dispatch import test_many_queues

FIELDS = ('beat', 1, 'h', 'i', '10.0.0.1', 1)


def make_case(seed):
    rng = random.Random(seed)
    config = test_many_queues.random_config(rng, True)
    names = [*config.queues, 'removed']
    pending = {rng.choice(names): rng.randint(1, 9) for _ in range(4)}
    return test_many_queues.Inputs(rng, config), pending


def encode_notice(inputs, pending):
    forecast = types.SimpleNamespace(predictions=inputs.predict())
    loads = load_report.make_loads(pending, forecast, {})
    waits = load_report.make_waits(forecast)
    return notices.encode(notices.OwnerNotice(*FIELDS, loads, waits=waits))


@pytest.mark.parametrize('seed', range(40))
def test_hosts_read_the_same_waits_of_all_queues(seed):
    inputs, pending = make_case(seed)
    read = notices.decode_owner(encode_notice(inputs, pending))
    for name, item in inputs.predict_plainly().items():
        wait = load_report.read_prediction(read, inputs.config.queues[name])
        tenths = int(item.within * 10), int(item.beyond * 10)
        assert wait == admission.Prediction(*(n / 10 for n in tenths))
    counts = {name: load.pending for name, load in read.loads.items()}
    assert counts == dict.fromkeys(counts, 0) | pending


@pytest.mark.parametrize('seed', range(10))
def test_queues_without_jobs_add_nothing_to_a_heartbeat(seed):
    inputs, pending = make_case(seed)
    before = encode_notice(inputs, pending)
    idle = {
        f'idle-{name}': dataclasses.replace(queue, name=f'idle-{name}')
        for name, queue in inputs.config.queues.items()
    }
    inputs.config = dataclasses.replace(
        inputs.config, queues=inputs.config.queues | idle
    )
    assert encode_notice(inputs, pending) == before


def test_notice_of_the_former_release_names_all_queues_with_a_wait():
    loads = {'q': notices.QueueLoad(0, 15, 20)}
    data = msgspec.msgpack.encode([*FIELDS, loads, 1, {}, {}])
    notice = notices.decode_owner(data)
    for name, wait in (('q', 1.5), ('other', 0.0)):
        queue = support.queue(name)
        assert load_report.read_prediction(notice, queue).within == wait
