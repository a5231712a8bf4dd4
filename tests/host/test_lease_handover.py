"""Check what owners tell their successors about leases of silent endpoints."""

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state
from hibiscusslip.host import _lease_grants
from hibiscusslip.host import _run_restoration
from hibiscusslip.host import context
from hibiscusslip.host import lease_handover
from hibiscusslip.host import lease_timing
from hibiscusslip.host import notices
from hibiscusslip.host import ownership
from tests.dispatch import support
from tests.host import fakes

LEASE_S = 5.9


class World:
    """An owner's handover and engine, with one endpoint that runs a task."""

    def __init__(self, now=100.0):
        self.now = now
        self.own = ownership.Ownership('h1', 'i1')
        self.own.record_claim(5, now)
        self.read(notices.CLAIM, 0, {})
        self.handover = lease_handover.LeaseHandover(self.own, 5)
        self.bench = support.Bench(lease=LEASE_S)
        self.bench.now = now
        self.engine = self.bench.engine
        self.endpoint = self.bench.endpoint('e1')
        self.bench.submit('j', support.step())
        (start,) = self.bench.plan()
        self.bench.confirm([start])
        self.endpoint.leased_until = self.endpoint.clock_now(now) + LEASE_S
        self.handover.set_engine(self.engine)

    def read(self, kind, number, lapses, epoch=5):
        """Read a notice back from the log."""
        notice = notices.OwnerNotice(
            kind, epoch, 'h1', 'i1', '10.0.0.1', 1, {}, number, lapses
        )
        self.own.apply_notice(notice, self.now)

    def write(self, **options):
        number, lapses = self.handover.next_notice(self.now, **options)
        self.read(notices.HEARTBEAT, number, lapses)
        return lapses


def test_endpoint_that_answers_is_not_named():
    assert World().write() == {}


def test_silent_endpoint_is_named_with_the_rest_of_its_leases():
    world = World()
    world.engine.mark_unresponsive('e1')
    left = world.write()['e1'] / 1000
    longest = (LEASE_S + state.LAPSE_SLACK_S) / state.MIN_CLOCK_RATE
    assert LEASE_S < left <= longest + 0.01
    world.now += 2.0
    assert world.write()['e1'] / 1000 <= left - 1.9


def test_leases_are_withheld_until_a_notice_without_the_name_is_read_back():
    world = World()
    world.engine.mark_unresponsive('e1')
    world.write()
    world.bench.report('e1')
    assert world.handover.lift_promises() == []
    assert world.endpoint.withheld and not world.endpoint.usable(world.now)
    number, lapses = world.handover.next_notice(world.now)
    assert lapses == {}
    assert world.handover.lift_promises() == []  # written, but not read back
    world.read(notices.HEARTBEAT, number, lapses)
    assert world.handover.lift_promises() == ['e1']
    assert world.endpoint.usable(world.now)


def test_no_promise_is_lifted_once_another_host_has_claimed():
    world = World()
    world.engine.mark_unresponsive('e1')
    world.write()
    world.bench.report('e1')
    number, lapses = world.handover.next_notice(world.now)
    world.read(notices.CLAIM, 0, {'e1': 900}, epoch=8)
    world.read(notices.HEARTBEAT, number, lapses)
    assert world.handover.lift_promises() == []
    assert world.endpoint.withheld


def test_notice_that_is_written_late_replaces_no_newer_one():
    world = World()
    world.read(notices.HEARTBEAT, 3, {})
    world.read(notices.HEARTBEAT, 2, {'e1': 900})
    assert world.own.leases_end == {}


def test_release_names_all_endpoints_that_run_something():
    world = World()
    assert set(world.write(releases=True)) == {'e1'}
    assert world.endpoint.withheld


def test_endpoint_that_went_silent_again_is_named_again():
    world = World()
    world.engine.mark_unresponsive('e1')
    world.write()
    world.bench.report('e1')
    world.handover.next_notice(world.now)
    world.engine.mark_unresponsive('e1')
    assert 'e1' in world.write()
    assert world.handover.lift_promises() == []


def test_notices_before_the_recovery_repeat_what_the_former_owner_told():
    own = ownership.Ownership('h1', 'i1')
    former = notices.OwnerNotice(
        'beat', 1, 'h2', 'x', '10.0.0.1', 1, {}, 7, {'e1': 4000}
    )
    own.apply_notice(former, 100.0)
    handover = lease_handover.LeaseHandover(own, 5)
    _, lapses = handover.next_notice(101.0)
    assert 2990 <= lapses['e1'] <= 3010


def test_endpoint_listed_after_the_recovery_is_withheld_if_it_was_named():
    world = World()
    world.own.leases_end = {'e2': world.now + 3.0}
    world.handover.set_engine(world.engine)
    endpoint = world.bench.endpoint('e2')
    assert endpoint.withheld
    world.write()
    assert 'e2' in world.handover.lift_promises()
    assert not endpoint.withheld


def placed_job(engine, now):
    submission_step = support.step()
    spec = model.JobSpec('payload', (submission_step,))
    job = state.Job('j', 'small', support.SERVICE, spec, now)
    engine.jobs['j'] = job
    engine.create_occurrence(job, 0, now)
    (step,) = job.occurrences[0]
    (task,) = step.tasks
    task.status = state.Status.RUNNING
    task.run = 1
    task.endpoint = 'gone'
    return job


def test_run_on_an_endpoint_that_was_silent_before_isnt_awaited_20_s_anew():
    """Seen on kauribond-sched-grown: three successions, each a new wait."""
    ctx = fakes.make_context(fakes.FakeStore())
    now = context.monotonic()
    engine = engines.Engine(LEASE_S)
    job = placed_job(engine, now)
    ctx.ownership.leases_end = {'gone': now + 2.0}
    _run_restoration._restore_allocations(ctx, engine, job, now)
    endpoint = engine.endpoints['gone']
    assert not endpoint.leases_expired(now + 1.9)
    assert endpoint.leases_expired(now + 2.0 + lease_timing.SLACK_S)


def test_run_on_an_endpoint_of_which_nothing_was_told_is_awaited_in_full():
    ctx = fakes.make_context(fakes.FakeStore())
    now = context.monotonic()
    engine = engines.Engine(LEASE_S)
    job = placed_job(engine, now)
    _run_restoration._restore_allocations(ctx, engine, job, now)
    longest = lease_timing.RENEWAL_LIMIT_S + ctx.cfg.bounds.max_lease
    assert not engine.endpoints['gone'].leases_expired(now + longest)


def test_poll_extends_no_lease_that_is_withheld():
    ctx = fakes.make_context(fakes.FakeStore())
    now = context.monotonic()
    ctx.ownership.record_claim(1, now)
    engine = engines.Engine(LEASE_S)
    engine.register_endpoint(support.entry('e1'), now)
    endpoint = engine.endpoints['e1']
    endpoint.polled = endpoint.responsive = True
    endpoint.allocate('j.0.0.0', state.Allocation(None, 1, model.Demand(), 0))
    assert _lease_grants.lease_deadline(ctx, engine, endpoint, now) is not None
    endpoint.withheld = True
    assert _lease_grants.lease_deadline(ctx, engine, endpoint, now) is None
