"""Apply the limits of organisations in scheduling passes."""

import collections.abc

from hibiscusslip.dispatch import limits
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import usage

# Of an organisation at its limit, so many steps in each pass still request
# admission tickets. More would use up the advice service for work that can't
# start; without any, the next step would wait for a ticket once it may start.
ADVISED_STEPS = 4


class Limiter:
    """Track the limits of organisations and the steps that they hold back.

    An organisation that is no longer configured keeps its last limit.
    `overage` is the share by which the deployment tolerates more.
    """

    def __init__(
        self,
        ledger: usage.Ledger,
        note: collections.abc.Callable[..., None],
        overage: float,
    ) -> None:
        self._ledger = ledger
        self.note = note
        self._overage = overage
        self._config: model.Configuration | None = None
        self._limits: dict[str, model.Demand] = {}
        self._noted: set[str] = set()
        self._advised: dict[str, int] = {}

    def begin_pass(
        self,
        config: model.Configuration | None,
        waiting: collections.abc.Iterable[state.StepState],
    ) -> None:
        """Begin a scheduling pass over the `waiting` steps."""
        if config is not None and config is not self._config:
            self._config = config
            for name, item in (config.organisations or {}).items():
                self._limits[name] = item.limit
        self._advised.clear()
        if self._noted:
            self._noted.intersection_update({step.name for step in waiting})

    def count_startable(self, step: state.StepState, wanted: int) -> int:
        """Return how many of `wanted` tasks of a step may start now."""
        organisation = step.job.organisation
        if not organisation or not self._in_use():
            return wanted
        return limits.count_startable(
            step.spec,
            wanted,
            self._ledger.usage_of(organisation),
            self._limits.get(organisation),
            self._overage,
        )

    def note_held_back(self, step: state.StepState) -> None:
        """Note that a step waits for the limit, once in each wait."""
        if step.name in self._noted:
            return
        self._noted.add(step.name)
        organisation = step.job.organisation
        limit = self._limits.get(organisation)
        self.note(
            'held_by_limit',
            job=step.job.job_id,
            step=step.name,
            organisation=organisation,
            usage=_fields(self._ledger.usage_of(organisation).demand),
            limit=None if limit is None else _fields(limit),
            demand=_fields(step.spec.demand),
            tasks=len(step.waiting()),
        )

    def may_request_advice(self, step: state.StepState) -> bool:
        """Return False if a step is too far back to need tickets soon."""
        organisation = step.job.organisation
        if not organisation:
            return True
        wanted = len(step.waiting())
        if not wanted or self.count_startable(step, wanted):
            return True
        self._advised[organisation] = self._advised.get(organisation, 0) + 1
        return self._advised[organisation] <= ADVISED_STEPS

    def _in_use(self) -> bool:
        """Return False if the configuration says that there are no limits."""
        config = self._config
        return config is None or config.organisations is not None


def _fields(demand: model.Demand) -> dict[str, int]:
    return {
        'cpu': demand.cpu,
        'memory': demand.memory,
        'accelerators': demand.accelerators,
    }
