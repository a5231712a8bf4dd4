"""Hold what all parts of a host share."""

import dataclasses
import time

from hibiscusslip.dispatch import model
from hibiscusslip.host import notices
from hibiscusslip.host import ownership
from hibiscusslip.observe import events
from hibiscusslip.observe import exposition
from hibiscusslip.platform import settings
from hibiscusslip.platform import store


@dataclasses.dataclass(slots=True, eq=False)
class Context:
    """Hold a host's settings, connections and beliefs.

    `store_answered` is when the store last answered, on the steady clock.
    """

    cfg: settings.HostSettings
    incarnation: str
    store: store.Store
    log: events.EventLog
    metrics: exposition.Metrics
    ownership: ownership.Ownership
    config: model.Configuration | None = None
    hosts: dict[str, notices.HostRecord] = dataclasses.field(
        default_factory=dict
    )
    store_answered: float = 0.0
    stopping: bool = False

    def store_ok(self, now: float, patience: float) -> bool:
        """Tell whether the store has answered lately."""
        return now < self.store_answered + patience


def steady() -> float:
    """Return the host's steady clock, which goes on while it is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return the Unix time."""
    return time.time()
