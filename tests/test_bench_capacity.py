"""Test the capacity estimate and its tables in docs/CAPACITY.md."""

import dataclasses
import pathlib
import random

import pytest

from hibiscusslip.bench import slopes
from hibiscusslip.bench.capacity import costs
from hibiscusslip.bench.capacity import memory_slopes
from hibiscusslip.bench.capacity import page
from hibiscusslip.bench.capacity import simulation
from hibiscusslip.bench.capacity import sizes
from hibiscusslip.bench.capacity import time_slopes
from hibiscusslip.bench.capacity import wire_slopes

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'
TARGETS = (
    '2,500 workers',
    '10,000 jobs a day',
    '450 task starts a second',
    '11,000 tasks running',
    'a fifth of them long-running services',
    '260 teams',
    'urgent work starts within 8.7 s',
    '8 regions with 23 zones',
    '7,300 changes of configuration a day',
    'in force everywhere within 5.0 s',
    '39 hosts fail a day',
    '410 restarted or replaced a day',
    'a rack or switch',
    'a zone every other month',
    'regions lose each other for an hour',
)


def _heartbeats_per_second(hosts):
    heartbeats = simulation.HeartbeatSimulation(
        hosts, sizes.Assumptions(), random.Random(1)
    )
    return heartbeats.heartbeats_per_second(30.0)


def test_heartbeat_rate_does_not_grow_with_the_region():
    assert _heartbeats_per_second(64) == pytest.approx(
        _heartbeats_per_second(16), rel=0.02
    )
    assert _heartbeats_per_second(16) > 0


def test_shares_of_all_hosts_add_up_to_the_target():
    shape = sizes.Shape()
    assert shape.workers_per_host * shape.hosts == pytest.approx(2_500)
    assert shape.starts_per_host * shape.hosts == pytest.approx(450)
    per_zone = shape.shards_per_host * shape.assumed.hosts_per_zone
    assert per_zone == shape.assumed.shards_per_zone


def test_total_sums_all_costs():
    lines = [
        costs.CostLine('a', '', '', messages=1, micros=2, memory=3, sent=4),
        costs.CostLine(
            'b', '', '', messages=10, micros=20, memory=30, sent=40
        ),
    ]
    total = costs.total(lines)
    sums = (total.messages, total.micros, total.memory, total.sent)
    assert sums == (11, 22, 33, 44)


@pytest.mark.parametrize('target', TARGETS)
def test_page_has_a_row_for_each_target(target):
    figures = PAGE.read_text().partition(slopes.BEGIN)[2]
    assert f'| {target}' in figures


def test_tables_of_measured_slopes_have_a_row_for_each_target():
    shape = sizes.Shape()
    slope_names = [
        field.name for field in dataclasses.fields(time_slopes.TimeSlopes)
    ]
    measured = costs.Slopes(
        wire_slopes.measure(shape),
        time_slopes.TimeSlopes(**dict.fromkeys(slope_names, 100.0)),
        memory_slopes.measure(shape),
        idle_bytes=30.0 * sizes.MIB,
    )
    tables = page.render(shape, measured)
    assert all(f'| {target}' in tables for target in TARGETS)
    for group in (measured.wire, measured.memory):
        for field in dataclasses.fields(group):
            assert getattr(group, field.name) > 0, field.name


def test_only_text_between_the_markers_is_replaced():
    text = f'a\n{slopes.BEGIN}\nold\n{slopes.END}\nz\n'
    replaced = slopes.replace_tables(text, 'new')
    assert replaced == f'a\n{slopes.BEGIN}\n\nnew\n{slopes.END}\nz\n'
    with pytest.raises(ValueError, match='markers'):
        slopes.replace_tables('a', 'new')
