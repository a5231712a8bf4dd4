"""Check the life cycle of jobs from acceptance to their final outcome.

The faults are lost replies, stalled or unresponsive endpoints, late reports
and an unavailable log. No task may run twice at the same time, and one that
isn't repeatable may not start twice at all.
"""

import pytest

from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.jobs import commands
from hibiscusslip.jobs import exceptions
from hibiscusslip.jobs import handover
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.records import zone
from tests.jobs import support

Outcome = work.Outcome
RunState = support.RunState


def job_of(bench, job_id='z1.0.rj1'):
    return bench.engine.jobs[job_id]


def test_finished_job_keeps_its_answer():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    [(endpoint, request)] = bench.starts()
    bench.confirm_start(endpoint, request)
    assert job_of(bench).outcome == Outcome.RUNNING
    bench.end_run(endpoint, request, answer=b'plan')
    assert job_of(bench).outcome == Outcome.SUCCEEDED
    assert job_of(bench).tasks[0].answer == b'plan'
    notified = [c for c in bench.tick() if isinstance(c, commands.JobFinal)]
    assert [c.job_id for c in notified] == ['z1.0.rj1']


def test_requests_are_rejected_until_all_endpoints_are_listed():
    bench = support.Bench()
    bench.tick()
    with pytest.raises(exceptions.ShardNotReady):
        bench.engine.submit(support.spec(), bench.now)
    bench.list_all(names=['e1'])
    with pytest.raises(exceptions.ShardNotReady):
        bench.engine.submit(support.spec(), bench.now)
    bench.list_all(names=['e2'])
    assert bench.engine.submit(support.spec(), bench.now)


def test_unresponsive_endpoint_delays_opening_until_old_leases_expired():
    bench = support.Bench()
    bench.tick()
    bench.list_all(names=['e1'])
    bench.tick(bench.cfg.lease_wait - 0.1)
    assert not bench.engine.is_open
    bench.tick(0.2)
    assert bench.engine.is_open


def test_unconfirmed_start_is_not_retried_until_it_is_resolved():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    [(endpoint, request)] = bench.starts()
    bench.engine.handle_start_failure(
        endpoint, [request.task], True, bench.now
    )
    assert bench.starts(bench.cfg.settle - 0.1) == []
    listings = [c for c in bench.tick(0.2) if type(c) is commands.ListRuns]
    assert [c.endpoint for c in listings] == [endpoint]
    bench.list_all(
        runs={endpoint: [support.run_of(request)]}, names=[endpoint]
    )
    assert job_of(bench).outcome == Outcome.RUNNING
    assert bench.starts(30) == []


def test_unconfirmed_start_that_never_arrived_is_retried():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    [(endpoint, request)] = bench.starts()
    bench.engine.handle_start_failure(
        endpoint, [request.task], True, bench.now
    )
    bench.tick(bench.cfg.settle + 0.1)
    bench.list_all(names=[endpoint])
    again = bench.starts(5)
    assert [r.attempt for _, r in again] == [2]


def unrepeatable_start_without_reply(bench):
    """Let a start of an unrepeatable task get no reply.

    Return the endpoint and the start request.
    """
    bench.engine.submit(support.spec(repeatable=False), bench.now)
    bench.confirm(bench.tick(), zone.StartIntent)
    [(endpoint, request)] = bench.starts()
    bench.engine.handle_start_failure(
        endpoint, [request.task], True, bench.now
    )
    return endpoint, request


def start_without_reply(bench):
    """Let a start get no reply; return the endpoint and the request."""
    bench.engine.submit(support.spec(), bench.now)
    [(endpoint, request)] = bench.starts()
    bench.engine.handle_start_failure(
        endpoint, [request.task], True, bench.now
    )
    return endpoint, request


def test_first_listing_after_lost_contact_resolves_no_start():
    bench = support.Bench().opened()
    endpoint, request = start_without_reply(bench)
    other = 'e2' if endpoint == 'e1' else 'e1'
    waited = 0.0
    while waited < bench.cfg.contact_lost_after + bench.cfg.settle + 1:
        bench.engine.handle_renewal(other, [], bench.now)
        assert bench.starts(0.5) == []
        waited += 0.5
    # The endpoint resumes and replies to the listing before it handles the
    # start request that it had received earlier.
    requested_at = bench.now - 0.5
    listing = endpoint_base.RunListing('b1', 0, [])
    bench.engine.handle_run_listing(endpoint, listing, requested_at, bench.now)
    assert bench.starts(bench.cfg.settle - 0.1) == []
    bench.list_all(
        runs={endpoint: [support.run_of(request)]}, names=[endpoint]
    )
    assert job_of(bench).outcome == Outcome.RUNNING
    assert bench.starts(30) == []


def test_slow_listing_resolves_no_start():
    bench = support.Bench().opened()
    endpoint, request = start_without_reply(bench)
    bench.tick(bench.cfg.settle + 0.1)
    requested_at = bench.now
    bench.tick(bench.cfg.settle * 0.6)
    listing = endpoint_base.RunListing('b1', 0, [])
    bench.engine.handle_run_listing(endpoint, listing, requested_at, bench.now)
    assert bench.starts(0.5) == []
    bench.list_all(
        runs={endpoint: [support.run_of(request)]}, names=[endpoint]
    )
    assert job_of(bench).outcome == Outcome.RUNNING


def test_unrepeatable_start_that_is_executed_late_is_not_started_elsewhere():
    bench = support.Bench().opened()
    endpoint, request = unrepeatable_start_without_reply(bench)
    waited = 0.0
    while waited < bench.cfg.lease_wait - 1:
        bench.list_all()
        assert bench.starts(0.5) == []
        waited += 0.5
    bench.list_all(
        runs={endpoint: [support.run_of(request)]}, names=[endpoint]
    )
    assert job_of(bench).outcome == Outcome.RUNNING
    assert bench.starts(60) == []


def test_unrepeatable_start_that_is_never_listed_is_unknown():
    bench = support.Bench().opened()
    unrepeatable_start_without_reply(bench)
    waited = 0.0
    while waited < bench.cfg.lease_wait:
        assert bench.starts(0.5) == []
        bench.list_all()
        waited += 0.5
    bench.confirm(bench.tick(), zone.JobEnded)
    assert job_of(bench).outcome == Outcome.UNKNOWN
    assert bench.starts(60) == []


def test_listing_requested_too_early_resolves_no_start():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    [(endpoint, request)] = bench.starts()
    bench.engine.handle_start_failure(
        endpoint, [request.task], True, bench.now
    )
    bench.list_all(names=[endpoint])
    assert bench.starts(bench.cfg.settle - 0.1) == []


def test_task_on_unresponsive_endpoint_reruns_only_after_its_lease():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    [(endpoint, request)] = bench.starts()
    bench.confirm_start(endpoint, request)
    other = 'e2' if endpoint == 'e1' else 'e1'
    waited = 0.0
    while waited < bench.cfg.contact_lost_after + bench.cfg.lease_wait - 1:
        bench.engine.handle_renewal(other, [], bench.now)
        assert bench.starts(0.5) == []
        waited += 0.5
    starts = []
    for _ in range(20):
        bench.engine.handle_renewal(other, [], bench.now)
        starts += bench.starts(0.5)
    assert [(name, r.attempt) for name, r in starts] == [(other, 2)]


def test_late_end_of_an_earlier_attempt_is_ignored():
    bench = support.Bench(endpoints=('e1',)).opened()
    bench.engine.submit(support.spec(), bench.now)
    [(endpoint, request)] = bench.starts()
    bench.confirm_start(endpoint, request)
    bench.end_run(endpoint, request, RunState.FAILED)
    [(endpoint, second)] = bench.starts(1)
    bench.confirm_start(endpoint, second)
    bench.end_run(endpoint, request, answer=b'stale')
    assert job_of(bench).outcome == Outcome.RUNNING
    assert bench.engine.counters.late_answers == 1
    bench.end_run(endpoint, second, answer=b'fresh')
    assert job_of(bench).tasks[0].answer == b'fresh'


def test_failing_task_has_limited_attempts():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    for _ in range(bench.cfg.max_attempts):
        [(endpoint, request)] = bench.starts(1)
        bench.confirm_start(endpoint, request)
        bench.end_run(endpoint, request, RunState.FAILED)
    assert bench.starts(1) == []
    assert job_of(bench).outcome == Outcome.FAILED


def test_same_id_is_idempotent_and_other_contents_are_rejected():
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


def test_cancelled_running_job_is_stopped_and_not_reported_as_not_run():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    [(endpoint, request)] = bench.starts()
    bench.confirm_start(endpoint, request)
    bench.engine.cancel('z1.0.rj1', bench.now)
    stops = [c for c in bench.tick() if isinstance(c, commands.StopTask)]
    assert [c.endpoint for c in stops] == [endpoint]
    bench.end_run(endpoint, request, RunState.STOPPED)
    assert job_of(bench).outcome == Outcome.FAILED


def test_unrepeatable_task_starts_only_after_its_intent_is_confirmed():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(repeatable=False), bench.now)
    issued = bench.tick()
    assert not [c for c in issued if isinstance(c, commands.StartTasks)]
    [intent] = bench.confirm(issued, zone.StartIntent)
    assert intent.tasks == [0]
    assert len(bench.starts()) == 1


def test_unrepeatable_task_whose_intent_failed_is_not_started():
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
    [(endpoint, request)] = bench.starts()
    bench.confirm_start(endpoint, request)
    bench.list_all(names=[endpoint], boot='b2')
    bench.confirm(bench.tick(), zone.JobEnded)
    assert job_of(bench).outcome == Outcome.UNKNOWN
    assert bench.starts(60) == []


def test_unrepeatable_work_is_rejected_while_the_log_is_unavailable():
    bench = support.Bench().opened()
    bench.engine.set_log_up(False)
    with pytest.raises(exceptions.LogNeeded):
        bench.engine.submit(support.spec(repeatable=False), bench.now)
    assert bench.engine.submit(support.spec(), bench.now)


def test_durable_job_starts_only_once_its_acceptance_is_on_the_log():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(durable=True), bench.now)
    issued = bench.tick()
    assert not [c for c in issued if isinstance(c, commands.StartTasks)]
    bench.confirm(issued, zone.JobAccepted)
    assert len(bench.starts()) == 1


def test_outcome_of_recorded_job_is_reported_once_it_is_on_the_log():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(durable=True), bench.now)
    bench.confirm(bench.tick(), zone.JobAccepted)
    [(endpoint, request)] = bench.starts()
    bench.confirm_start(endpoint, request)
    bench.end_run(endpoint, request)
    issued = bench.tick()
    assert not bench.engine.may_report_outcome('z1.0.rj1')
    bench.confirm(issued, zone.JobEnded)
    assert bench.engine.may_report_outcome('z1.0.rj1')


def test_outcome_is_reported_in_time_while_the_log_is_unavailable():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(durable=True), bench.now)
    bench.confirm(bench.tick(), zone.JobAccepted)
    [(endpoint, request)] = bench.starts()
    bench.confirm_start(endpoint, request)
    bench.end_run(endpoint, request)
    bench.tick(bench.cfg.record_timeout + 0.1)
    assert bench.engine.may_report_outcome('z1.0.rj1')


def test_service_is_restarted_with_backoff():
    bench = support.Bench().opened()
    service = support.spec(form=work.Form.SERVICE)
    bench.engine.submit(service, bench.now)
    pauses = []
    for _ in range(3):
        waited, starts = 0.0, []
        while not starts:
            for name in ('e1', 'e2'):
                bench.engine.handle_renewal(name, [], bench.now)
            starts = bench.starts(0.25)
            waited += 0.25
        pauses.append(waited)
        [(endpoint, request)] = starts
        bench.confirm_start(endpoint, request)
        bench.end_run(endpoint, request, RunState.FAILED)
    assert pauses == sorted(pauses) and pauses[-1] > pauses[0]


def test_leaving_endpoint_gets_no_new_work():
    bench = support.Bench(endpoints=('e1',)).opened()
    leaving = support.endpoint('e1', places.EndpointState.LEAVING)
    bench.engine.set_endpoint(leaving, bench.now)
    bench.engine.submit(support.spec(), bench.now)
    assert bench.starts(2) == []


def test_failed_gang_task_stops_the_other_tasks():
    bench = support.Bench().opened()
    gang = support.spec(form=work.Form.GANG, tasks=3, repeatable=False)
    bench.engine.submit(gang, bench.now)
    bench.confirm(bench.tick(), zone.StartIntent)
    starts = bench.starts()
    assert len(starts) == 3
    for endpoint, request in starts:
        bench.confirm_start(endpoint, request)
    bench.end_run(*starts[0], state=RunState.FAILED)
    stops = [c for c in bench.tick() if isinstance(c, commands.StopTask)]
    assert {c.task for c in stops} == {r.task for _, r in starts[1:]}


def listed_endpoints(issued):
    """Return the endpoints whose runs the engine asks to list."""
    return [c.endpoint for c in issued if isinstance(c, commands.ListRuns)]


def test_endpoint_is_listed_after_a_renewal_misses_a_task():
    bench = support.Bench(endpoints=('e1',)).opened()
    bench.engine.submit(support.spec(), bench.now)
    [(endpoint, request)] = bench.starts()
    bench.confirm_start(endpoint, request)
    bench.engine.handle_renewal(endpoint, [request.task], bench.now)
    assert listed_endpoints(bench.tick(0.5)) == []
    assert listed_endpoints(bench.tick(bench.cfg.event_wait)) == [endpoint]


def test_endpoint_is_not_listed_if_the_missing_task_has_ended():
    bench = support.Bench(endpoints=('e1',)).opened()
    bench.engine.submit(support.spec(), bench.now)
    [(endpoint, request)] = bench.starts()
    bench.confirm_start(endpoint, request)
    bench.engine.handle_renewal(endpoint, [request.task], bench.now)
    bench.end_run(endpoint, request)
    assert listed_endpoints(bench.tick(bench.cfg.event_wait + 0.1)) == []


def test_task_that_crashes_its_endpoints_is_started_without_end():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    started = 0
    for life in range(2, 62):
        requests = bench.starts(1)
        for endpoint, request in requests:
            started += 1
            bench.confirm_start(endpoint, request)
            bench.list_all(names=[endpoint], boot=f'b{life}')
        if not requests:
            bench.list_all(boot=f'b{life}')
    assert started <= 5  # two more than the crashes that prove it
    assert job_of(bench).outcome == Outcome.FAILED


LONGEST_BACKOFF_S = 15.0


def crash_under(bench, endpoint, life, seconds):
    """Start what waits, and restart an endpoint `seconds` later."""
    bench.now += LONGEST_BACKOFF_S
    bench.engine.handle_renewal(endpoint, [], bench.now)
    for name, request in bench.starts():
        bench.confirm_start(name, request)
    bench.now += seconds
    tasks = list(bench.engine.endpoints[endpoint].tasks)
    bench.engine.handle_renewal(endpoint, [], bench.now)
    bench.list_all(names=[endpoint], boot=f'b{life}')
    return tasks


def test_task_is_not_given_up_for_crashes_long_after_its_starts():
    bench = support.Bench(endpoints=('e1',)).opened()
    bench.engine.submit(support.spec(), bench.now)
    for life in range(2, 8):
        assert crash_under(bench, 'e1', life, seconds=5.0)
    assert job_of(bench).outcome != Outcome.FAILED


def test_task_is_not_given_up_for_the_crashes_of_a_neighbour():
    bench = support.Bench(endpoints=('e1',)).opened()
    bench.engine.submit(support.spec(), bench.now)
    for life in range(2, 8):
        if life < 5:
            bench.engine.submit(support.spec(f'z1.0.rj{life}'), bench.now)
        assert len(crash_under(bench, 'e1', life, seconds=0.0)) > 1
    assert job_of(bench).outcome != Outcome.FAILED


def test_handed_over_task_keeps_the_crashes_of_its_endpoints():
    bench = support.Bench(endpoints=('e1',)).opened()
    bench.engine.submit(support.spec(), bench.now)
    for life in (2, 3):
        crash_under(bench, 'e1', life, seconds=0.0)
    job = handover.unpack(handover.pack(job_of(bench)), bench.now)
    successor = support.Bench(2, ('e1',), [job]).opened()
    crash_under(successor, 'e1', 4, seconds=0.0)
    assert job_of(successor).outcome == Outcome.FAILED
