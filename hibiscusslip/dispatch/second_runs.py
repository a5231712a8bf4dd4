"""The run of a task beside its current one."""

import dataclasses


@dataclasses.dataclass(slots=True, eq=False)
class SecondRun:
    """A run that may be active beside a task's current run.

    `address` and `born` are those of its endpoint's incarnation. It is
    `confirmed` once the endpoint has confirmed its start, at `started_at`.
    """

    run: int
    endpoint: str
    address: str
    born: float
    confirmed: bool = False
    started_at: float = 0.0
