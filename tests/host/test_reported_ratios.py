"""Check what hosts and new owners do with the ratios that an owner reports.

Without them hosts reject jobs that declare too little, and accept useless
ones that declare too much.
"""

import curio
import msgspec
import pytest

from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import policy
from hibiscusslip.dispatch import run_times
from hibiscusslip.host import context
from hibiscusslip.host import load_report
from hibiscusslip.host import notices
from tests.host import fakes
from tests.host import test_admission_control as hosts
from tests.host import test_ownership_keeper as keepers

LEARNED = policy.Policy(learned_run_times=True)
LOADS = {'q': notices.QueueLoad(3, 20, 900), 'r': notices.QueueLoad(1)}
# A notice with LOADS, as commit ad63aa5 encoded it.
FORMER_BYTES = (
    '9aa46265617403a26832a169'
    'a831302e302e302e320182a171930314cd0384a17293010000'
    '0781a1653281a16f0c'
)


def notice(loads, epoch=3, number=7):
    return notices.OwnerNotice(
        *('beat', epoch, 'h2', 'i', '10.0.0.2', 1, loads, number),
        *({'e': 50}, {'o': 12}),
    )


def learn(model, actual=2.0, jobs=60, queue='q'):
    for number in range(jobs):
        work = run_times.Work(queue, '', '', 1.0)
        model.run_times.learn(work, actual, str(number), 0.0)
    return model


def test_notices_without_ratios_have_the_former_bytes():
    """Cells that don't learn run times must not pay for the field."""
    assert notices.encode(notice(LOADS)).hex() == FORMER_BYTES
    model = learn(estimates.Estimates())
    assert load_report.make_loads({'q': 3}, None, model.reported_ratios()) == {
        'q': notices.QueueLoad(3)
    }


def test_notices_of_both_releases_are_read_by_both():
    data = notices.encode(notice({'q': notices.QueueLoad(3, 1, 2, 180)}))
    assert notices.decode_owner(data).loads['q'].ratio == 180
    assert msgspec.msgpack.decode(data)[6] == {'q': [3, 1, 2, 180]}
    former = notices.decode_owner(bytes.fromhex(FORMER_BYTES))
    assert load_report.read_ratio(former, 'q') == 1.0


@pytest.mark.parametrize(
    ('runs', 'actual', 'expected'),
    [(7, 2.0, 1.0), (60, 2.0, 2.0), (60, 1.05, 1.0), (60, 30.0, 5.0)],
)
def test_ratio_is_reported_if_it_is_known_and_matters(runs, actual, expected):
    model = learn(estimates.Estimates(LEARNED), actual, runs)
    ratio = model.reported_ratios().get('q', 1.0)
    assert ratio == pytest.approx(expected, rel=0.06)


def test_number_of_queues_named_only_for_a_ratio_is_bounded():
    """Hosts spend at most 24 KB/s, and each hears all heartbeats."""
    ratios = {f'q{number}': 1.5 for number in range(900)}
    loads = load_report.make_loads({'q800': 2}, None, ratios)
    assert len(loads) == 1 + load_report.MAX_IDLE_QUEUES
    assert loads['q800'] == notices.QueueLoad(2, ratio=150)


@pytest.mark.parametrize(
    ('wait', 'ratios', 'status'),
    [
        (90, (0, 0), 429),
        (90, (200, 200), 200),
        (90, (0, 200), 200),
        (70, (0, 0), 200),
        (70, (50, 50), 429),
        (70, (50, 0), 200),
        (39, (1, 1), 200),
        (900, (60_000, 60_000), 429),
    ],
)
def test_host_applies_the_ratio_to_the_declared_time(wait, ratios, status):
    """A job that declares 1 s may wait for 8 s by that; waits in tenths."""
    host = hosts.Host({})
    for ratio in ratios:
        host.hear(wait, ratio=ratio)
    assert host.post().status == status
    for line in host.ctx.log.named('job_rejected'):
        known = estimates.clamp_ratio(ratios[-1] / 100 or 1.0)
        assert line['ratio'] == known


def inherit(*heard):
    ctx = fakes.make_context(None)
    for item in heard:
        ctx.ownership.apply_notice(item, context.monotonic())
    model = estimates.Estimates(LEARNED)
    load_report.apply_ratios(model, ctx)
    return model, ctx


def test_new_owner_begins_with_the_ratios_of_the_newest_notice():
    """Its first decisions were those by declared times."""
    loads = [{'q': notices.QueueLoad(0, 0, 0, ratio)} for ratio in (150, 200)]
    model, ctx = inherit(notice(loads[0]), notice(loads[1], number=8))
    assert model.reported_ratios() == {'q': 2.0}
    assert ctx.log.named('run_times_inherited') == [{'queues': 1}]
    assert not inherit()[0].reported_ratios()


def test_own_runs_of_a_new_owner_soon_prevail():
    model, _ = inherit(notice({'q': notices.QueueLoad(0, 0, 0, 500)}))
    learn(model, actual=1.0, jobs=8)
    ratio = model.run_times.expect(run_times.Work('q', '', '', 1.0)).median
    assert ratio < 1.5


def test_owner_that_is_lost_during_its_recovery_passes_the_ratios_on():
    store = fakes.FakeStore()
    ctx = fakes.make_context(store)
    loads = {'q': notices.QueueLoad(4, 30, 30, 180)}
    ctx.ownership.apply_notice(notice(loads, 1), context.monotonic())
    keeper = keepers.ownership_keeper.OwnershipKeeper(
        *(ctx, keepers.Successors(), 2),
        keepers.lease_handover.LeaseHandover(ctx.ownership, 2),
        lambda: None,
        keepers.release_ownership,
    )
    curio.run(keeper.write_notice, notices.HEARTBEAT)
    ((_, record),) = store.records
    assert notices.decode_owner(record).loads == {
        'q': notices.QueueLoad(4, ratio=180)
    }
