"""Commands that the engine gives to the host."""

import dataclasses

from hibiscusslip.dispatch import advice_calls
from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import state

START_VALID_S = 2.0  # of a start request, from its decision


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start a run, once the job's record is written.

    `deadline` is on the endpoint's clock, `decided_at` on the host's.
    `expected` is the expected run time on an endpoint of ordinary speed if
    run times are learned, and `speed` that of the endpoint.
    """

    endpoint: str
    address: str
    task: state.Task
    run: int
    payload: str
    deadline: float
    checkpoint: str
    ticket: str
    decided_at: float
    expected: estimates.Expectation | None = None
    speed: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Stop a run; `reason` is for the log."""

    endpoint: str
    task: str
    run: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """Limit a run to `percent` of its speed."""

    endpoint: str
    task: str
    run: int
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Ask the advice service which endpoints are eligible for a step.

    `call` is what was counted for it.
    """

    step: state.StepState
    endpoints: tuple[str, ...]
    call: advice_calls.Call

    @property
    def cost(self) -> float:
        """Return how long the call takes, in seconds."""
        return self.call.cost
