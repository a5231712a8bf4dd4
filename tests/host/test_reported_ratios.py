"""Check what hosts and new owners do with the ratios that an owner reports.

Without them hosts reject jobs that declare too little, and accept useless
ones that declare too much.
"""

import curio
import msgspec
import pytest

from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy
from hibiscusslip.dispatch import run_times
from hibiscusslip.host import context
from hibiscusslip.host import load_report
from hibiscusslip.host import notices
from hibiscusslip.host import owner
from tests.dispatch import support
from tests.host import fakes
from tests.host import test_admission_control as hosts
from tests.host import test_ownership_keeper as keepers

LEARNED = policy.Policy(learned_run_times=True)
LOADS = {'q': notices.QueueLoad(3, 20, 900), 'r': notices.QueueLoad(1)}
# A notice with LOADS, as commit ad63aa5 encoded it, but for the fields `waits`
# and `endpoints`, which are empty: two more elements, of one byte each.
FORMER_BYTES = (
    '9ca46265617403a26832a169'
    'a831302e302e302e320182a171930314cd0384a17293010000'
    '0781a1653281a16f0c'
    '8000'
)


def notice(loads, epoch=3, number=7):
    return notices.OwnerNotice(
        'beat',
        epoch,
        'h2',
        'i',
        '10.0.0.2',
        1,
        loads,
        number,
        lapses={'e': 50},
        beyond={'o': 12},
    )


def learn(known, actual=2.0, jobs=60, queue='q'):
    for number in range(jobs):
        work = run_times.Work(queue, '', '', 1.0)
        known.run_times.learn(work, actual, str(number), 0.0)
    return known


def test_notices_without_ratios_have_the_former_bytes():
    """Cells that don't learn run times must not pay for the field."""
    assert notices.encode(notice(LOADS)).hex() == FORMER_BYTES
    known = learn(estimates.Estimates())
    assert load_report.make_loads({'q': 3}, None, known.reported_ratios()) == {
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
    known = learn(estimates.Estimates(LEARNED), actual, runs)
    ratio = known.reported_ratios().get('q', 1.0)
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


@pytest.mark.parametrize(
    ('scope', 'limit', 'status'),
    [
        (policy.Scope.ORGANISATIONS, 1000, 200),
        (policy.Scope.ORGANISATIONS, 0, 429),
        (policy.Scope.OFF, 1000, 429),
    ],
)
def test_waves_of_a_wide_step_are_counted_by_its_limit(scope, limit, status):
    """A host counted one wave, and rejected wide jobs too soon."""
    item = model.Organisation('', 9.0, model.Demand(limit))
    host = hosts.Host({'': item})
    host.ctx.options = policy.Options(run_times=scope)
    host.hear(90)
    host.hear(90)
    host.body = hosts.BODY.replace(b'"Count":1', b'"Count":6')
    assert host.post().status == status


def inherit(*heard):
    ctx = fakes.make_context(None)
    for item in heard:
        ctx.ownership.apply_notice(item, context.monotonic())
    known = estimates.Estimates(LEARNED)
    load_report.apply_ratios(known, ctx)
    return known, ctx


def test_new_owner_begins_with_the_ratios_of_the_newest_notice():
    """Its first decisions were those by declared times."""
    loads = [{'q': notices.QueueLoad(0, 0, 0, ratio)} for ratio in (150, 200)]
    known, ctx = inherit(notice(loads[0]), notice(loads[1], number=8))
    assert known.reported_ratios() == {'q': 2.0}
    assert ctx.log.named('run_times_inherited') == [{'queues': 1}]
    assert not inherit()[0].reported_ratios()


def test_own_runs_of_a_new_owner_soon_prevail():
    known, _ = inherit(notice({'q': notices.QueueLoad(0, 0, 0, 500)}))
    learn(known, actual=1.0, jobs=8)
    ratio = known.run_times.expect(run_times.Work('q', '', '', 1.0)).median
    assert ratio < 1.5


def test_owner_that_is_lost_during_its_recovery_passes_the_ratios_on():
    store = fakes.FakeStore()
    ctx = fakes.make_context(store)
    loads = {'q': notices.QueueLoad(4, 30, 30, 180)}
    ctx.ownership.apply_notice(notice(loads, 1), context.monotonic())
    keeper = keepers.ownership_keeper.OwnershipKeeper(
        ctx,
        keepers.Successors(),
        2,
        keepers.lease_handover.LeaseHandover(ctx.ownership, 2),
        lambda: None,
        keepers.release_ownership,
    )
    curio.run(keeper.write_notice, notices.HEARTBEAT)
    ((_, record),) = store.records
    assert notices.decode_owner(record).loads == {
        'q': notices.QueueLoad(4, ratio=180)
    }


@pytest.mark.parametrize('organisations', [None, {}])
def test_owner_takes_the_ratios_over_and_tells_them(organisations):
    """Only where run times are learned; else its notices are as before."""
    store = fakes.FakeStore()
    ctx = fakes.make_context(store)
    queues = {'q': support.queue('q')}
    ctx.config = model.Configuration(
        1, queues, {}, organisations=organisations
    )
    loads = {n: notices.QueueLoad(0, ratio=180) for n in ('q', 'removed')}
    ctx.ownership.apply_notice(notice(loads, 1), context.monotonic())
    local_owner = owner.Owner(ctx, None, None, 2)
    local_owner.ready = True
    curio.run(local_owner.release_ownership)
    ((_, record),) = store.records
    told = {} if organisations is None else {'q': [0, 0, 0, 180]}
    assert msgspec.msgpack.decode(record)[6] == told
