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

FAILURES_UNTIL_UNAVAILABLE = 2
STORE_MAX_SILENCE_S = 1.1


@dataclasses.dataclass(slots=True, eq=False)
class Context:
    """Hold a host's settings, connections and beliefs.

    `store_answered` is when the store last answered, on the steady clock;
    `cut_off` tells that no host answered when it was last asked for, and
    `found_unready` how often in a row the platform found this host unready.
    A host that is `leaving` takes no new connections, and one that is
    `stopping` gives up the ownership as well.
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
    store_answered_at: float = 0.0
    store_failures: int = 0
    isolated: bool = False
    unready_probes: int = 0
    leaving: bool = False
    stopping: bool = False

    def record_store_success(self, now: float) -> None:
        """Take note that the store has answered."""
        if self.store_failures >= FAILURES_UNTIL_UNAVAILABLE:
            self.log.note('store_regained', failures=self.store_failures)
        self.store_answered_at = now
        self.store_failures = 0

    def record_store_failure(self, reason: str) -> None:
        """Take note that a call to the store had no use."""
        self.store_failures += 1
        if self.store_failures == FAILURES_UNTIL_UNAVAILABLE:
            self.log.note('store_lost', reason=reason[:120])

    def record_peer_replies(self, any_replied: bool) -> None:
        """Take note of whether any of the other hosts answered."""
        if any_replied and self.isolated:
            self.log.note('hosts_regained')
        elif not any_replied and not self.isolated:
            self.log.note('hosts_lost')
        self.isolated = not any_replied

    def store_available(self, now: float) -> bool:
        """Tell whether the store serves this host as far as is known."""
        return (
            self.store_failures < FAILURES_UNTIL_UNAVAILABLE
            and now < self.store_answered_at + STORE_MAX_SILENCE_S
        )


def monotonic() -> float:
    """Return the host's steady clock, which goes on while it is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time() -> float:
    """Return the Unix time."""
    return time.time()
