"""Derive from a machine's limits what clients may make its host hold.

The rest of the memory is for the process itself and what an owner keeps, the
rest of the descriptors for its files and its links to the store, the owner,
other hosts and endpoints.
"""

import dataclasses

from hibiscusslip.host import context
from hibiscusslip.http import intake
from hibiscusslip.platform import settings

MIB = 1024 * 1024
CALLERS_MEMORY_SHARE = 1 / 4
PROBES_MEMORY_SHARE = 1 / 32  # of readiness probes and collectors of metrics
# Decoding takes up to ten times the body, and one is decoded at a time.
MAX_BODY_SHARE = 1 / 64
FILE_DESCRIPTORS = 200
STORE_DESCRIPTORS = 64  # with the advice service
PROBE_CONNECTIONS = 32  # at each of the two listeners
UNAUTHENTICATED_LINKS = 32
REFUSALS = 64
LINKS_PER_HOST = 2  # one in each direction
MIN_CALLERS_SHARE = 1 / 64  # what the most endpoint connections leave
LOG_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What the clients of a host may make it hold, in bytes."""

    callers_bytes: int
    probes_bytes: int
    max_body_bytes: int
    max_descriptors: int

    def max_callers(self, hosts: int, endpoint_connections: int) -> int:
        """Return how many connections callers may have open."""
        own = (
            FILE_DESCRIPTORS
            + STORE_DESCRIPTORS
            + 2 * PROBE_CONNECTIONS
            + UNAUTHENTICATED_LINKS
            + REFUSALS
            + LINKS_PER_HOST * hosts
            + endpoint_connections
        )
        least = int(self.max_descriptors * MIN_CALLERS_SHARE)
        return max(self.max_descriptors - own, least)


def derive(cfg: settings.HostSettings) -> ClientLimits:
    """Return the limits that fit the machine of a host."""
    memory = cfg.memory_mb * MIB
    return ClientLimits(
        callers_bytes=int(memory * CALLERS_MEMORY_SHARE),
        probes_bytes=int(memory * PROBES_MEMORY_SHARE),
        max_body_bytes=int(memory * MAX_BODY_SHARE),
        max_descriptors=cfg.max_descriptors,
    )


def max_body_bytes(configured: int, limits: ClientLimits) -> int:
    """Return the largest body that callers may send.

    `configured` is that of the configuration, 0 or less for none.
    """
    if configured <= 0:
        configured = settings.DEFAULT_MAX_BODY_BYTES
    return min(configured, limits.max_body_bytes)


class RefusalLog:
    """Log refused clients, one line for each reason and LOG_INTERVAL_S."""

    def __init__(self, ctx: context.Context, listener: str) -> None:
        self._ctx = ctx
        self._listener = listener
        self._since_line: dict[str, int] = {}
        self._next_line_at: dict[str, float] = {}

    def record(self, reason: str, peer: str, now: float) -> None:
        """Count a refusal; log how many there were since the last line."""
        self._ctx.metrics.count(
            'clients_refused', listener=self._listener, reason=reason
        )
        count = self._since_line.get(reason, 0) + 1
        self._since_line[reason] = count
        if now < self._next_line_at.get(reason, 0.0):
            return
        self._next_line_at[reason] = now + LOG_INTERVAL_S
        self._since_line[reason] = 0
        self._ctx.log.note(
            'clients_refused',
            listener=self._listener,
            reason=reason,
            count=count,
            peer=peer,
        )


class ListenerIntake(intake.Intake):
    """Bound what the clients of a listener make a host hold."""

    def __init__(self, ctx: context.Context, max_bytes: int, name: str):
        super().__init__(max_bytes)
        self._refusal_log = RefusalLog(ctx, name)

    def refuse(self, reason: intake.Reason, peer: str) -> None:
        """Count and log that a client was refused."""
        super().refuse(reason, peer)
        self._refusal_log.record(reason.value, peer, context.monotonic())


class CallersIntake(ListenerIntake):
    """Bound what callers make a host hold, and which descriptors are left."""

    def __init__(self, ctx: context.Context, limits: ClientLimits) -> None:
        super().__init__(ctx, limits.callers_bytes, 'front')
        self._ctx = ctx
        self._limits = limits

    def max_connections(self, limit: int) -> int:
        """Return how many connections may be open, `limit` at most."""
        ctx = self._ctx
        return min(
            limit,
            self._limits.max_callers(
                len(ctx.hosts), ctx.endpoint_connections.open
            ),
        )
