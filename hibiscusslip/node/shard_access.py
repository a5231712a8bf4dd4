"""Define what an endpoint's driver needs of its shard."""

import abc

from hibiscusslip.jobs import engine as jobs_engine
from hibiscusslip.node import supervision
from hibiscusslip.observe import traces


class ShardAccess(abc.ABC):
    """Give access to a shard's engine and lease.

    `settle` is how long an order may take to its endpoint, in seconds.
    """

    engine: jobs_engine.ShardEngine
    worker_lease: float
    settle: float
    tracer: traces.Tracer
    supervisor: supervision.Supervisor

    @abc.abstractmethod
    def may_act(self, now: float) -> bool:
        """Tell whether this host may act for the shard now."""

    @abc.abstractmethod
    async def changed(self) -> None:
        """Carry out what the engine wants after an event."""
