"""Present jobs to their callers."""

import base64
import dataclasses
import json

from hibiscusslip.jobs import model
from hibiscusslip.model import work


@dataclasses.dataclass(frozen=True, slots=True)
class JobView:
    """Represent the state of a job for its caller.

    `answer` is set once the outcome is final. `retry_after` is in seconds;
    `nearest` is the closest demand per task that could run.
    """

    job_id: str
    outcome: work.Outcome
    detail: str = ''
    answer: bytes = b''
    retry_after: float | None = None
    nearest: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class JobHistory:
    """Represent a job's event history, oldest line first."""

    job_id: str
    outcome: work.Outcome
    lines: list[str]


def view_of(job: model.Job, reportable: bool = True) -> JobView:
    """Return the view of a job.

    Unless `reportable`, a final outcome is shown as still running.
    """
    outcome = job.outcome
    if outcome.final and not reportable:
        outcome = work.Outcome.RUNNING
    answer = answer_of(job) if outcome.final else b''
    return JobView(
        job.spec.job_id, outcome, job.detail, answer, job.retry_after
    )


def answer_of(job: model.Job) -> bytes:
    """Return a job's answer.

    It is that of the task for a job of one task, else a JSON document with
    the answers of all tasks in base64.
    """
    tasks = [job.tasks[index] for index in sorted(job.tasks)]
    if len(tasks) == 1 and job.spec.tasks == 1:
        return tasks[0].answer
    rows = [
        {
            'task': task.index,
            'outcome': task.outcome.value,
            'detail': task.detail,
            'answer': base64.b64encode(task.answer).decode(),
        }
        for task in tasks
    ]
    return json.dumps({'tasks': rows}).encode()


def history_of(job: model.Job, now: float, reasons: list[str]) -> JobHistory:
    """Return a job's history, current phases and reasons for waiting."""
    lines = [f'{now - e.at:8.1f} s ago: {e.text}' for e in job.history]
    for task in job.tasks.values():
        place = f' on {task.endpoint}' if task.endpoint else ''
        if task.phase not in (model.Phase.ENDED, model.Phase.QUEUED):
            lines.append(f'now: task {task.index} {task.phase}{place}')
    lines.extend(f'waits: {reason}' for reason in reasons)
    return JobHistory(job.spec.job_id, job.outcome, lines)
