"""Track which records are written, and find jobs that ended long ago."""

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import usage


def find_ended_before(
    jobs: dict[str, state.Job], ledger: usage.Ledger, before: float
) -> list[state.Job]:
    """Return the jobs that ended before a time.

    Jobs are left out whose final state isn't written yet, or whose runs still
    count towards the limit of their organisation.
    """
    return [
        job
        for job in jobs.values()
        if job.state.final
        and job.durable_state.final
        and job.final_at < before
        and not ledger.runs_of(job.job_id)
    ]


def confirm_records(
    jobs: dict[str, state.Job],
    endpoints: dict[str, state.Endpoint],
    written: dict[str, model.JobState],
    cursors: dict[str, state.HandledCursor],
) -> None:
    """Record that the records of jobs and ended runs are written.

    The cursor of a former incarnation is ignored: a restarted endpoint
    numbers its ended runs anew.
    """
    for job_id, outcome in written.items():
        job = jobs.get(job_id)
        if job is not None:
            job.durable_state = outcome
    for name, cursor in cursors.items():
        endpoint = endpoints.get(name)
        if endpoint is not None and endpoint.born == cursor.born:
            endpoint.acknowledged_cursor = max(
                endpoint.acknowledged_cursor, cursor.number
            )
