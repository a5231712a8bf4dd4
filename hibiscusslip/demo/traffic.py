"""Call a demonstration's cell as its firms' callers do."""

import dataclasses
import random
import time

import curio

from hibiscusslip import sheet
from hibiscusslip.model import work
from hibiscusslip.node import acceptor
from hibiscusslip.standin import payload

WAIT_SECONDS = 15.0
MAX_RUN_SECONDS = 0.4


@dataclasses.dataclass(slots=True)
class Call:
    """Hold one request and what its caller was told."""

    kind: str
    outcome: work.Outcome | None
    whole: bool
    seconds: float
    run_seconds: float

    @property
    def waited(self) -> float:
        """Return the seconds that were not spent running."""
        return max(0.0, self.seconds - self.run_seconds)


def with_standin_payloads(content: sheet.Sheet) -> sheet.Sheet:
    """Return a sheet whose payloads tell stand-in workers what to do."""
    rows = []
    for row in content.workloads:
        service = row.form == work.Form.SERVICE
        what = payload.Payload(
            run_s=min(row.run_time, MAX_RUN_SECONDS),
            never_ends=service,
            echo=row.name,
        )
        rows.append(
            dataclasses.replace(row, payload=payload.encode(what).decode())
        )
    return dataclasses.replace(content, workloads=tuple(rows))


def request_for(
    row: sheet.Workload, echo: str, rng: random.Random
) -> tuple[work.JobSpec, float]:
    """Return a request like those of a sheet's row, and its run time."""
    run = rng.uniform(0.02, MAX_RUN_SECONDS)
    what = payload.Payload(
        run_s=run, echo=echo, request=echo, repeatable=row.repeatable
    )
    spec = work.JobSpec(
        job_id='',
        team=row.team,
        kind=row.kind,
        form=row.form,
        urgency=row.urgency,
        tasks=4 if row.form == work.Form.GANG else 1,
        demand=row.demand,
        run_time=run,
        repeatable=row.repeatable,
        workload=row.name,
        payload=payload.encode(what),
    )
    return spec, run


async def call(
    door: acceptor.Acceptor, row: sheet.Workload, echo: str, rng: random.Random
) -> Call:
    """Make one request and check that its answer is its own and whole."""
    spec, run = request_for(row, echo, rng)
    started = time.monotonic()
    try:
        job = await door.submit(spec, WAIT_SECONDS)
    except acceptor.RequestFailed as exc:
        told = (
            work.Outcome.UNKNOWN if exc.may_have_run else work.Outcome.NOT_RUN
        )
        return Call(row.kind, told, True, time.monotonic() - started, run)
    whole = True
    if job.outcome == work.Outcome.SUCCEEDED and spec.tasks == 1:
        name = work.task_id(job.job_id, 0)
        whole = job.answer == payload.expected_answer(name, echo)
    outcome = job.outcome if job.outcome.final else None
    return Call(row.kind, outcome, whole, time.monotonic() - started, run)


async def run(
    doors: list[acceptor.Acceptor],
    content: sheet.Sheet,
    rate: float,
    seconds: float,
    rng: random.Random,
) -> list[Call]:
    """Make requests at a rate for some time and return all of them."""
    rows = [r for r in content.workloads if r.form != work.Form.SERVICE]
    tasks = []
    for number in range(int(rate * seconds)):
        row = rng.choice(rows)
        door = rng.choice(doors)
        tasks.append(await curio.spawn(call, door, row, f'c{number}', rng))
        await curio.sleep(1.0 / rate)
    return [await task.join() for task in tasks]
