"""Define the interface between an endpoint's driver and its shard."""

import abc

from hibiscusslip.jobs import engine as jobs_engine
from hibiscusslip.node import supervision
from hibiscusslip.observe import traces


class ShardAccess(abc.ABC):
    """Give access to a shard's engine and lease.

    `worker_lease` is the duration of task leases on an endpoint, `settle` the
    longest time a start request may take to reach its endpoint. Both are in
    seconds.
    """

    engine: jobs_engine.ShardEngine
    worker_lease: float
    settle: float
    tracer: traces.Tracer
    supervisor: supervision.Supervisor

    @abc.abstractmethod
    def may_act(self, now: float) -> bool:
        """Return whether this host may act for the shard at `now`."""

    @abc.abstractmethod
    async def wake(self) -> None:
        """Wake the shard's loop after an event, to execute new commands."""
