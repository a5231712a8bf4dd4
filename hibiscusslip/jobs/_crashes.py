"""Find the tasks that crash the endpoints which start them.

A task that crashes its endpoint does so soon after its start, therefore only
runs that had just started are held responsible, and a crash counts only
against a job that is alone responsible. Those that were in a crash start
again after a delay of their own, so that they meet less and less.
"""

import zlib

from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.jobs import _state
from hibiscusslip.jobs import model
from hibiscusslip.model import places
from hibiscusslip.model import work

MAX_CRASHES = 3
PROBATION_S = 1.0  # a run that was seen at work for longer isn't the cause
CLEARED_S = 10.0  # so long at work disproves the crashes before
MAX_BACKOFF_EXPONENT = 7


def handle_restart(
    st: _state.ShardState,
    view: _state.EndpointView,
    listing: endpoint_base.RunListing,
) -> None:
    """Hold a crash against the runs of `view` that may be its cause."""
    listed = {(run.task, run.attempt) for run in listing.runs}
    fresh = []
    for name in view.tasks:
        match = st.find(name)
        if match is None or (name, match[1].attempt) in listed:
            continue
        job, task = match
        if _was_seen_for(task, CLEARED_S):
            task.crashes = 0
        if _may_be_cause(task):
            fresh.append((job, task))
    if view.info.state != places.EndpointState.LIVE:
        return
    sole = len({job.spec.job_id for job, _ in fresh}) == 1
    for _, task in fresh:
        task.tried += 1
        task.crashes += sole


def _may_be_cause(task: model.Task) -> bool:
    running = (model.Phase.RUNNING, model.Phase.UNCONFIRMED)
    return task.phase in running and not _was_seen_for(task, PROBATION_S)


def _was_seen_for(task: model.Task, seconds: float) -> bool:
    """Return True if the latest run was seen at work for so long."""
    return task.seen_at >= task.running_since + seconds


def is_convicted(task: model.Task) -> bool:
    """Return True if a task has provably crashed several endpoints."""
    return task.crashes >= MAX_CRASHES


def restart_delay(
    st: _state.ShardState, job: model.Job, task: model.Task
) -> float:
    """Return after how many seconds a lost task may start again."""
    if not task.tried:
        return st.cfg.retry_delay
    exponent = min(task.tried, MAX_BACKOFF_EXPONENT)
    name = work.task_id(job.spec.job_id, task.index)
    share = zlib.crc32(name.encode()) / 2**32
    return st.cfg.retry_delay * 2**exponent * (1 + share)
