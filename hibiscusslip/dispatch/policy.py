"""Choose which optional decisions a deployment's engine makes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Switch optional decisions on; by default all of them are off.

    With `learned_run_times` expected run times come from finished runs, with
    `endpoint_speeds` placement considers how fast an endpoint is, with
    `copies` a second run of a straggler is started if its step allows that,
    and with `urgent_preemption` patient runs are stopped for urgent work.
    """

    learned_run_times: bool = False
    endpoint_speeds: bool = False
    copies: bool = False
    urgent_preemption: bool = False
