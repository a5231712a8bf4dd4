"""Generate caller traffic for a demonstration."""

import dataclasses
import random
import time

import curio

from hibiscusslip import sheet
from hibiscusslip.model import work
from hibiscusslip.node import acceptor
from hibiscusslip.standin import payload

WAIT_S = 15.0
MAX_RUN_S = 0.4


@dataclasses.dataclass(slots=True)
class Call:
    """Represent one request and its result as the caller received it.

    `outcome` is None while no final one is known. Times are in seconds.
    """

    kind: str
    outcome: work.Outcome | None
    answer_correct: bool
    duration_s: float
    run_s: float

    @property
    def wait_s(self) -> float:
        """Return the waiting time, which excludes the run time."""
        return max(0.0, self.duration_s - self.run_s)


def with_standin_payloads(content: sheet.Sheet) -> sheet.Sheet:
    """Return the sheet with payloads that stand-in workers understand."""
    rows = []
    for row in content.workloads:
        service = row.form == work.Form.SERVICE
        task_payload = payload.Payload(
            run_s=min(row.run_time, MAX_RUN_S),
            never_ends=service,
            echo=row.name,
        )
        rows.append(
            dataclasses.replace(
                row, payload=payload.encode(task_payload).decode()
            )
        )
    return dataclasses.replace(content, workloads=tuple(rows))


def build_request(
    row: sheet.Workload, echo: str, rng: random.Random
) -> tuple[work.JobSpec, float]:
    """Return a request based on a row of the sheet, and its run time."""
    run_s = rng.uniform(0.02, MAX_RUN_S)
    task_payload = payload.Payload(
        run_s=run_s, echo=echo, request=echo, repeatable=row.repeatable
    )
    spec = work.JobSpec(
        job_id='',
        team=row.team,
        kind=row.kind,
        form=row.form,
        urgency=row.urgency,
        tasks=4 if row.form == work.Form.GANG else 1,
        demand=row.demand,
        run_time=run_s,
        repeatable=row.repeatable,
        workload=row.name,
        payload=payload.encode(task_payload),
    )
    return spec, run_s


async def call(
    acceptor_: acceptor.Acceptor,
    row: sheet.Workload,
    echo: str,
    rng: random.Random,
) -> Call:
    """Submit one request and check that its answer is correct."""
    spec, run_s = build_request(row, echo, rng)
    started = time.monotonic()
    try:
        job = await acceptor_.submit(spec, WAIT_S)
    except acceptor.RequestFailed as exc:
        reported = (
            work.Outcome.UNKNOWN if exc.may_have_run else work.Outcome.NOT_RUN
        )
        return Call(
            row.kind, reported, True, time.monotonic() - started, run_s
        )
    answer_correct = True
    if job.outcome == work.Outcome.SUCCEEDED and spec.tasks == 1:
        name = work.task_id(job.job_id, 0)
        answer_correct = job.answer == payload.expected_answer(name, echo)
    outcome = job.outcome if job.outcome.final else None
    return Call(
        row.kind, outcome, answer_correct, time.monotonic() - started, run_s
    )


async def run(
    acceptors: list[acceptor.Acceptor],
    content: sheet.Sheet,
    rate: float,
    duration_s: float,
    rng: random.Random,
) -> list[Call]:
    """Submit requests at a fixed rate and return the results."""
    rows = [r for r in content.workloads if r.form != work.Form.SERVICE]
    tasks = []
    for number in range(int(rate * duration_s)):
        row = rng.choice(rows)
        acceptor_ = rng.choice(acceptors)
        tasks.append(
            await curio.spawn(call, acceptor_, row, f'c{number}', rng)
        )
        await curio.sleep(1.0 / rate)
    return [await task.join() for task in tasks]
