"""Send the starts that a scheduling pass has decided."""

from hibiscusslip.dispatch import _scheduling_pass
from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import placement
from hibiscusslip.dispatch import state


def send_start(
    current: _scheduling_pass.Pass,
    step: state.StepState,
    choice: placement.Choice,
    run: int,
) -> None:
    """Allocate for a run and add the command that starts it."""
    now = current.now
    task = choice.task
    endpoint = choice.endpoint
    assert endpoint.entry is not None
    deadline = endpoint.clock_now(now) + commands.START_VALID_S
    if step.job.service in current.spare:
        current.spare[step.job.service] -= step.spec.allocated_demand.cpu
    allocation = state.Allocation(
        task, run, step.spec.allocated_demand, now, deadline=deadline
    )
    endpoint.allocate(task.name, allocation)
    endpoint.last_start_at = now
    endpoint.last_start_job = step.job.job_id
    choice.candidate.allocate(step.spec.allocated_demand)
    endpoint.leased_until = max(endpoint.leased_until, deadline)
    estimates = current.engine.estimates
    checkpoint = step.checkpoint if step.spec.gang else task.checkpoint
    allocation.measurable = not checkpoint
    ticket = (step.tickets or {}).get(endpoint.name)
    current.engine.starts_decided += 1
    current.engine.starts_left -= 1
    current.engine.dirty.add(step.job.job_id)
    current.engine.starts.append(
        commands.Start(
            endpoint.name,
            endpoint.entry.address,
            task,
            run,
            step.job.spec.payload,
            deadline,
            checkpoint,
            ticket.text if ticket is not None else '',
            now,
            estimates.expect(step) if estimates.learns else None,
            choice.candidate.speed,
        )
    )
