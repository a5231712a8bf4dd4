"""The state and services that all parts of a host share."""

import dataclasses
import time

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy as policies
from hibiscusslip.host import call_load
from hibiscusslip.host import notices
from hibiscusslip.host import ownership
from hibiscusslip.host import repeat_policy
from hibiscusslip.host import store_share
from hibiscusslip.http import connection_budget
from hibiscusslip.http import uplink as uplinks
from hibiscusslip.observe import events
from hibiscusslip.observe import prometheus
from hibiscusslip.platform import settings
from hibiscusslip.platform import store

FAILURES_UNTIL_UNAVAILABLE = 2
MAX_STORE_ANSWER_AGE_S = 1.1


@dataclasses.dataclass(slots=True, eq=False)
class Context:
    """The settings, connections and observed state of one host.

    `uplink` is the host's link, for which all calls that it makes wait, and
    `repeats` decides when a call to the store is repeated.
    `store_answered_at` is when the store last answered, on the monotonic
    clock, and `config_confirmed_at` when it last had no newer configuration
    than `config`. `isolated` is set while no peer replies, and
    `unready_probes` counts the readiness probes that have failed in a row. A
    host that is `leaving` fails its readiness probes, so that it gets no new
    connections, and claims no ownership; one that is `stopping` releases the
    ownership. `options` say which optional decisions its owner makes.
    `endpoint_connections` bounds the idle connections to endpoints, and
    `endpoint_calls` counts the calls to them. `refused_entries` has the reason
    for each listed endpoint whose entry can't be used.
    """

    cfg: settings.HostSettings
    incarnation: str
    store: store.Store
    uplink: uplinks.Uplink
    log: events.EventLog
    metrics: prometheus.Metrics
    ownership: ownership.Ownership
    config: model.Configuration | None = None
    config_confirmed_at: float = 0.0
    hosts: dict[str, notices.HostRecord] = dataclasses.field(
        default_factory=dict
    )
    repeats: repeat_policy.RepeatPolicy = dataclasses.field(
        default_factory=repeat_policy.RepeatPolicy
    )
    store_answered_at: float = 0.0
    store_failures: int = 0
    isolated: bool = False
    unready_probes: int = 0
    leaving: bool = False
    stopping: bool = False
    options: policies.Options = policies.Options()
    endpoint_connections: connection_budget.ConnectionBudget = (
        dataclasses.field(
            default_factory=lambda: connection_budget.ConnectionBudget(512)
        )
    )
    endpoint_calls: call_load.CallLoad = dataclasses.field(
        default_factory=call_load.CallLoad
    )
    refused_entries: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def store_slowdown(self) -> float:
        """Return by which factor this host repeats fewer calls."""
        is_owner = bool(self.ownership.held_epoch)
        return store_share.slowdown(len(self.hosts), is_owner)

    def record_store_success(self, now: float) -> None:
        """Record that the store has answered."""
        if self.store_failures >= FAILURES_UNTIL_UNAVAILABLE:
            self.log.note('store_regained', failures=self.store_failures)
        self.store_answered_at = now
        self.store_failures = 0

    def record_store_failure(self, reason: str) -> None:
        """Record that a call to the store failed."""
        self.store_failures += 1
        if self.store_failures == FAILURES_UNTIL_UNAVAILABLE:
            self.log.note('store_lost', reason=reason[:120])

    def record_peer_replies(self, any_replied: bool) -> None:
        """Record whether any of the probed peers replied."""
        if any_replied and self.isolated:
            self.log.note('hosts_regained')
        elif not any_replied and not self.isolated:
            self.log.note('hosts_lost')
        self.isolated = not any_replied

    def take_config(
        self, config: model.Configuration, source: str, size: int
    ) -> None:
        """Put a configuration into force; `size` is in bytes."""
        known = self.config
        self.config = config
        self.metrics.gauge('config_version', config.version)
        self.log.note(
            'config_taken',
            version=config.version,
            before=known.version if known else None,
            queues=len(config.queues),
            organisations=len(config.organisations or ()),
            source=source,
            bytes=size,
        )

    def config_is_current(self, now: float) -> bool:
        """Return True if no newer configuration has to be in force yet."""
        age = now - self.config_confirmed_at
        return age <= self.cfg.bounds.config_apply

    def other_hosts(self) -> frozenset[str]:
        """Return the names of the other hosts that are listed."""
        return frozenset(self.hosts.keys() - {self.cfg.name})

    def store_available(self, now: float) -> bool:
        """Return True if the store is believed to serve this host."""
        return (
            self.store_failures < FAILURES_UNTIL_UNAVAILABLE
            and now < self.store_answered_at + MAX_STORE_ANSWER_AGE_S
        )


def monotonic() -> float:
    """Return the monotonic clock in s, which counts suspended time too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time() -> float:
    """Return the Unix time in seconds."""
    return time.time()
