"""Answer for an owner what has become of a job."""

import typing

from hibiscusslip.dispatch import model
from hibiscusslip.host import access
from hibiscusslip.host import recovery
from hibiscusslip.platform import exceptions

if typing.TYPE_CHECKING:
    from hibiscusslip.host import owner as owners


async def query_state(
    owner: 'owners.Owner', job_id: str, organisation: str
) -> model.JobState | None:
    """Return a job's state, or None if it provably doesn't exist.

    To callers that may not access it a job doesn't exist. Raises
    PlatformError if the inbox can't be read to its end, or if it takes a
    configuration to decide who may access the job.
    """
    job = owner.engine.jobs.get(job_id)
    if job is None and owner.intake.deletion.holds(job_id):
        raise exceptions.StoreUnavailable(
            'a former job of this ID is being deleted; ask again'
        )
    for feed in owner.inboxes:
        if job is not None:
            break
        await feed.read_to_end()
        job = owner.engine.jobs.get(job_id)
    if job is None:
        return None
    verdict = access.decide_job_access(
        owner.engine.config,
        owner.engine.known_queue_of(job),
        job.organisation,
        organisation,
    )
    if verdict is access.Verdict.UNDECIDED:
        owner.ctx.metrics.count('access_undecided', call='state')
        raise exceptions.StoreUnavailable(
            'the owner has no configuration yet; ask again'
        )
    if verdict is access.Verdict.REFUSED:
        return None
    return recovery.visible_state(job)
