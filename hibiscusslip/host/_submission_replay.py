"""Submit recorded jobs to a new engine in the order of their acceptance."""

import collections
import contextlib

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import records
from hibiscusslip.host import context
from hibiscusslip.host import record_errors
from hibiscusslip.host import slices
from hibiscusslip.host import submissions
from hibiscusslip.host import topics


async def submit_all(
    ctx: context.Context,
    submits: submissions.Submissions,
    engine: engines.Engine,
    rows: list[tuple[str, bytes]],
    progress: dict[str, bytes],
    now: float,
) -> None:
    """Submit all jobs, with organisations in the order of acceptance.

    The former owner read all partitions at the same time; one after the
    other, most jobs of all but the first would be beyond the entitlement.
    """
    wall_time = context.wall_time()
    contested = _contested_rows(rows, progress)
    config = engine.config
    if contested or (config is not None and config.organisations is not None):
        rows.sort(
            key=lambda row: (contested.get(row, False), _accepted(row[1]))
        )
    work = slices.Slices()
    for key, value in rows:
        await work.pause_if_due()
        with record_errors.leaving_out(ctx, topics.INBOX, None, None, key):
            submits.apply(engine, key, value, now, wall_time)


def _contested_rows(
    rows: list[tuple[str, bytes]], progress: dict[str, bytes]
) -> dict[tuple[str, bytes], bool]:
    """Return the submissions of IDs that several organisations submitted.

    The value is True if a former owner has ignored that submission. Keys don't
    tell: in former releases all organisations used the same one.
    """
    counts = collections.Counter(topics.submitted_job(key) for key, _ in rows)
    submitters: dict[str, dict[tuple[str, bytes], str]] = {}
    for key, value in rows:
        job_id = topics.submitted_job(key)
        if counts[job_id] > 1:
            with contextlib.suppress(records.Unreadable):
                organisation = records.decode_submission(value).organisation
                submitters.setdefault(job_id, {})[key, value] = organisation
    contested = {}
    for job_id, organisations in submitters.items():
        if len(set(organisations.values())) == 1:
            continue
        contested.update(dict.fromkeys(organisations, False))
        with contextlib.suppress(KeyError, records.Unreadable):
            job = records.decode_job(progress[job_id])
            if job.contested:
                for row, organisation in organisations.items():
                    contested[row] = organisation != job.organisation
    return contested


def _accepted(value: bytes) -> float:
    """Return when the job of an inbox record was accepted, 0 if unknown."""
    try:
        return records.decode_submission(value).accepted
    except records.Unreadable:
        return 0.0
