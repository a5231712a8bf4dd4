"""Check a job's way from acceptance to its final outcome."""

import pytest

from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.jobs import commands
from hibiscusslip.jobs import exceptions
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.records import zone
from tests.jobs import support

Outcome = work.Outcome
RunState = support.RunState


def job_of(bench, job_id='z1.0.rj1'):
    return bench.engine.jobs[job_id]


def test_job_runs_and_its_answer_is_kept():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    [(where, order)] = bench.starts()
    bench.started(where, order)
    assert job_of(bench).outcome == Outcome.RUNNING
    bench.end(where, order, answer=b'plan')
    assert job_of(bench).outcome == Outcome.SUCCEEDED
    assert job_of(bench).tasks[0].answer == b'plan'
    told = [c for c in bench.tick() if isinstance(c, commands.JobFinal)]
    assert [c.job_id for c in told] == ['z1.0.rj1']


def test_nothing_is_taken_before_endpoints_told_what_runs():
    bench = support.Bench()
    bench.tick()
    with pytest.raises(exceptions.ShardNotReady):
        bench.engine.submit(support.spec(), bench.now)
    bench.list_all(names=['e1'])
    with pytest.raises(exceptions.ShardNotReady):
        bench.engine.submit(support.spec(), bench.now)
    bench.list_all(names=['e2'])
    assert bench.engine.submit(support.spec(), bench.now)


def test_silent_endpoint_holds_opening_up_until_old_leases_lapsed():
    bench = support.Bench()
    bench.tick()
    bench.list_all(names=['e1'])
    bench.tick(bench.cfg.lapse - 0.1)
    assert not bench.engine.is_open
    bench.tick(0.2)
    assert bench.engine.is_open


def test_start_in_doubt_runs_nowhere_else_until_it_is_settled():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    [(where, order)] = bench.starts()
    bench.engine.handle_start_failure(where, [order.task], True, bench.now)
    assert bench.starts(bench.cfg.settle - 0.1) == []
    listings = [c for c in bench.tick(0.2) if type(c) is commands.ListRuns]
    assert [c.endpoint for c in listings] == [where]
    bench.list_all(runs={where: [support.run_of(order)]}, names=[where])
    assert job_of(bench).outcome == Outcome.RUNNING
    assert bench.starts(30) == []


def test_start_in_doubt_that_never_arrived_is_tried_again():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    [(where, order)] = bench.starts()
    bench.engine.handle_start_failure(where, [order.task], True, bench.now)
    bench.tick(bench.cfg.settle + 0.1)
    bench.list_all(names=[where])
    again = bench.starts(5)
    assert [o.attempt for _, o in again] == [2]


def unrepeatable_in_doubt(bench):
    """Have the start of work that must not run twice get no answer."""
    bench.engine.submit(support.spec(repeatable=False), bench.now)
    bench.confirm(bench.tick(), zone.StartIntent)
    [(where, order)] = bench.starts()
    bench.engine.handle_start_failure(where, [order.task], True, bench.now)
    return where, order


def in_doubt(bench):
    """Have a start get no answer; return where it went."""
    bench.engine.submit(support.spec(), bench.now)
    [(where, order)] = bench.starts()
    bench.engine.handle_start_failure(where, [order.task], True, bench.now)
    return where, order


def test_first_listing_after_a_silence_settles_no_start():
    bench = support.Bench().opened()
    where, order = in_doubt(bench)
    other = 'e2' if where == 'e1' else 'e1'
    waited = 0.0
    while waited < bench.cfg.contact_lost_after + bench.cfg.settle + 1:
        bench.engine.handle_renewal(other, [], bench.now)
        assert bench.starts(0.5) == []
        waited += 0.5
    # It goes on: it answers the listing before the start that it still holds.
    asked_at = bench.now - 0.5
    listing = endpoint_base.RunListing('b1', 0, [])
    bench.engine.handle_run_listing(where, listing, asked_at, bench.now)
    assert bench.starts(bench.cfg.settle - 0.1) == []
    bench.list_all(runs={where: [support.run_of(order)]}, names=[where])
    assert job_of(bench).outcome == Outcome.RUNNING
    assert bench.starts(30) == []


def test_listing_that_took_long_settles_no_start():
    bench = support.Bench().opened()
    where, order = in_doubt(bench)
    bench.tick(bench.cfg.settle + 0.1)
    asked_at = bench.now
    bench.tick(bench.cfg.settle * 0.6)
    listing = endpoint_base.RunListing('b1', 0, [])
    bench.engine.handle_run_listing(where, listing, asked_at, bench.now)
    assert bench.starts(0.5) == []
    bench.list_all(runs={where: [support.run_of(order)]}, names=[where])
    assert job_of(bench).outcome == Outcome.RUNNING


def test_unrepeatable_start_carried_out_late_is_not_started_elsewhere():
    bench = support.Bench().opened()
    where, order = unrepeatable_in_doubt(bench)
    waited = 0.0
    while waited < bench.cfg.lapse - 1:
        bench.list_all()
        assert bench.starts(0.5) == []
        waited += 0.5
    bench.list_all(runs={where: [support.run_of(order)]}, names=[where])
    assert job_of(bench).outcome == Outcome.RUNNING
    assert bench.starts(60) == []


def test_unrepeatable_start_that_never_shows_is_unknown():
    bench = support.Bench().opened()
    unrepeatable_in_doubt(bench)
    waited = 0.0
    while waited < bench.cfg.lapse:
        assert bench.starts(0.5) == []
        bench.list_all()
        waited += 0.5
    bench.confirm(bench.tick(), zone.JobEnded)
    assert job_of(bench).outcome == Outcome.UNKNOWN
    assert bench.starts(60) == []


def test_listing_asked_for_too_early_settles_nothing():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    [(where, order)] = bench.starts()
    bench.engine.handle_start_failure(where, [order.task], True, bench.now)
    bench.list_all(names=[where])
    assert bench.starts(bench.cfg.settle - 0.1) == []


def test_task_on_silent_endpoint_runs_again_only_after_its_lease():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    [(where, order)] = bench.starts()
    bench.started(where, order)
    other = 'e2' if where == 'e1' else 'e1'
    waited = 0.0
    while waited < bench.cfg.contact_lost_after + bench.cfg.lapse - 1:
        bench.engine.handle_renewal(other, [], bench.now)
        assert bench.starts(0.5) == []
        waited += 0.5
    found = []
    for _ in range(20):
        bench.engine.handle_renewal(other, [], bench.now)
        found += bench.starts(0.5)
    assert [(name, o.attempt) for name, o in found] == [(other, 2)]


def test_late_end_of_an_abandoned_attempt_is_dropped():
    bench = support.Bench(endpoints=('e1',)).opened()
    bench.engine.submit(support.spec(), bench.now)
    [(where, order)] = bench.starts()
    bench.started(where, order)
    bench.end(where, order, RunState.FAILED)
    [(where, second)] = bench.starts(1)
    bench.started(where, second)
    bench.end(where, order, answer=b'stale')
    assert job_of(bench).outcome == Outcome.RUNNING
    assert bench.engine.counters.late_answers == 1
    bench.end(where, second, answer=b'fresh')
    assert job_of(bench).tasks[0].answer == b'fresh'


def test_failing_task_is_tried_a_bounded_number_of_times():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    for _ in range(bench.cfg.max_attempts):
        [(where, order)] = bench.starts(1)
        bench.started(where, order)
        bench.end(where, order, RunState.FAILED)
    assert bench.starts(1) == []
    assert job_of(bench).outcome == Outcome.FAILED


def test_same_id_is_the_same_job_and_other_contents_are_refused():
    bench = support.Bench().opened()
    first = bench.engine.submit(support.spec(), bench.now)
    assert bench.engine.submit(support.spec(), bench.now) is first
    assert len(bench.starts()) == 1
    with pytest.raises(exceptions.KeyReused):
        bench.engine.submit(support.spec(payload=b'other'), bench.now)


def test_cancelled_queued_job_is_not_run():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    bench.engine.cancel('z1.0.rj1', bench.now)
    assert bench.starts() == []
    assert job_of(bench).outcome == Outcome.NOT_RUN


def test_cancelled_running_job_is_stopped_and_not_said_not_run():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    [(where, order)] = bench.starts()
    bench.started(where, order)
    bench.engine.cancel('z1.0.rj1', bench.now)
    stops = [c for c in bench.tick() if isinstance(c, commands.StopTask)]
    assert [c.endpoint for c in stops] == [where]
    bench.end(where, order, RunState.STOPPED)
    assert job_of(bench).outcome == Outcome.FAILED


def test_unrepeatable_task_starts_only_after_its_intent_was_read_back():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(repeatable=False), bench.now)
    found = bench.tick()
    assert not [c for c in found if isinstance(c, commands.StartTasks)]
    [intent] = bench.confirm(found, zone.StartIntent)
    assert intent.tasks == [0]
    assert len(bench.starts()) == 1


def test_unrepeatable_task_whose_intent_failed_was_not_started():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(repeatable=False), bench.now)
    [write] = [c for c in bench.tick() if type(c) is commands.WriteRecord]
    bench.engine.handle_record_failed(write.record.record_id, bench.now)
    bench.engine.cancel('z1.0.rj1', bench.now)
    assert job_of(bench).outcome == Outcome.NOT_RUN


def test_lost_unrepeatable_task_is_unknown_and_never_run_again():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(repeatable=False), bench.now)
    bench.confirm(bench.tick(), zone.StartIntent)
    [(where, order)] = bench.starts()
    bench.started(where, order)
    bench.list_all(names=[where], boot='b2')
    bench.confirm(bench.tick(), zone.JobEnded)
    assert job_of(bench).outcome == Outcome.UNKNOWN
    assert bench.starts(60) == []


def test_unrepeatable_work_is_refused_while_the_log_is_down():
    bench = support.Bench().opened()
    bench.engine.set_log_up(False)
    with pytest.raises(exceptions.LogNeeded):
        bench.engine.submit(support.spec(repeatable=False), bench.now)
    assert bench.engine.submit(support.spec(), bench.now)


def test_durable_job_starts_only_once_its_acceptance_is_on_the_log():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(durable=True), bench.now)
    found = bench.tick()
    assert not [c for c in found if isinstance(c, commands.StartTasks)]
    bench.confirm(found, zone.JobAccepted)
    assert len(bench.starts()) == 1


def test_end_of_recorded_job_is_told_once_it_is_on_the_log():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(durable=True), bench.now)
    bench.confirm(bench.tick(), zone.JobAccepted)
    [(where, order)] = bench.starts()
    bench.started(where, order)
    bench.end(where, order)
    found = bench.tick()
    assert not bench.engine.may_report_outcome('z1.0.rj1')
    bench.confirm(found, zone.JobEnded)
    assert bench.engine.may_report_outcome('z1.0.rj1')


def test_end_is_told_in_time_when_the_log_stays_down():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(durable=True), bench.now)
    bench.confirm(bench.tick(), zone.JobAccepted)
    [(where, order)] = bench.starts()
    bench.started(where, order)
    bench.end(where, order)
    bench.tick(bench.cfg.record_timeout + 0.1)
    assert bench.engine.may_report_outcome('z1.0.rj1')


def test_standing_service_is_started_again_with_growing_pauses():
    bench = support.Bench().opened()
    service = support.spec(form=work.Form.SERVICE)
    bench.engine.submit(service, bench.now)
    pauses = []
    for _ in range(3):
        waited, found = 0.0, []
        while not found:
            for name in ('e1', 'e2'):
                bench.engine.handle_renewal(name, [], bench.now)
            found = bench.starts(0.25)
            waited += 0.25
        pauses.append(waited)
        [(where, order)] = found
        bench.started(where, order)
        bench.end(where, order, RunState.FAILED)
    assert pauses == sorted(pauses) and pauses[-1] > pauses[0]


def test_leaving_endpoint_gets_no_new_work():
    bench = support.Bench(endpoints=('e1',)).opened()
    leaving = support.endpoint('e1', places.EndpointState.LEAVING)
    bench.engine.set_endpoint(leaving, bench.now)
    bench.engine.submit(support.spec(), bench.now)
    assert bench.starts(2) == []


def test_gang_with_a_failed_task_stops_the_others():
    bench = support.Bench().opened()
    gang = support.spec(form=work.Form.GANG, tasks=3, repeatable=False)
    bench.engine.submit(gang, bench.now)
    bench.confirm(bench.tick(), zone.StartIntent)
    starts = bench.starts()
    assert len(starts) == 3
    for where, order in starts:
        bench.started(where, order)
    bench.end(*starts[0], state=RunState.FAILED)
    stops = [c for c in bench.tick() if isinstance(c, commands.StopTask)]
    assert {c.task for c in stops} == {o.task for _, o in starts[1:]}


def listings(found):
    """Return the endpoints that are to be listed."""
    return [c.endpoint for c in found if isinstance(c, commands.ListRuns)]


def test_renewal_that_misses_a_task_has_its_endpoint_listed():
    bench = support.Bench(endpoints=('e1',)).opened()
    bench.engine.submit(support.spec(), bench.now)
    [(where, order)] = bench.starts()
    bench.started(where, order)
    bench.engine.handle_renewal(where, [order.task], bench.now)
    assert listings(bench.tick(0.5)) == []
    assert listings(bench.tick(bench.cfg.event_wait)) == [where]


def test_renewal_that_misses_an_ended_task_needs_no_listing():
    bench = support.Bench(endpoints=('e1',)).opened()
    bench.engine.submit(support.spec(), bench.now)
    [(where, order)] = bench.starts()
    bench.started(where, order)
    bench.engine.handle_renewal(where, [order.task], bench.now)
    bench.end(where, order)
    assert listings(bench.tick(bench.cfg.event_wait + 0.1)) == []
