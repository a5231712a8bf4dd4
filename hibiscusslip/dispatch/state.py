"""The state of jobs, their tasks and the endpoints that run them."""

from hibiscusslip.dispatch import _endpoint_state
from hibiscusslip.dispatch import _job_state

CRASHES_TO_LONG_PROBATION = _job_state.CRASHES_TO_LONG_PROBATION
LAPSE_SLACK_S = _endpoint_state.LAPSE_SLACK_S
LONG_PROBATION_S = _job_state.LONG_PROBATION_S
MIN_CLOCK_RATE = _endpoint_state.MIN_CLOCK_RATE
PROBATION_S = _job_state.PROBATION_S
Allocation = _job_state.Allocation
Crashes = _job_state.Crashes
Endpoint = _endpoint_state.Endpoint
HandledCursor = _endpoint_state.HandledCursor
Job = _job_state.Job
Status = _job_state.Status
StepState = _job_state.StepState
Task = _job_state.Task
Ticket = _job_state.Ticket
UnexplainedLoss = _job_state.UnexplainedLoss
