"""Tell successors until when the leases of silent endpoints last.

A run on an endpoint that doesn't answer is lost once its leases have expired.
A new owner can't know what the former one granted, so it would have to wait
for the longest time for which any owner may extend any lease, and its own
successor for as long again. So each notice of an owner names the silent
endpoints that have runs, and how long their leases last. Naming an endpoint is
a promise: its leases are extended, and runs started on it, only after a later
notice without it was read back from the log. A host that claims the ownership
then has read that notice as well.

Until an owner has recovered, its notices promise so for all endpoints: it has
extended no lease itself. They tell until when those of its predecessors last,
so that the wait for them doesn't start anew if it is lost, too.
"""

import dataclasses

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import state
from hibiscusslip.host import ownership

MAX_NAMED_ENDPOINTS = 1000  # in one notice
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Inheritance:
    """What a notice tells of the leases that it doesn't name."""

    hosts_read: int
    inherited: int  # the rest of those of former owners, in ms
    grants: bool


class LeaseHandover:
    """Name silent endpoints in the notices of one epoch of the ownership.

    `epoch` is the epoch. Until `set_engine` is called, the notices repeat
    what the former owner told.
    """

    def __init__(self, own: ownership.Ownership, epoch: int) -> None:
        self._ownership = own
        self._epoch = epoch
        self._engine: engines.Engine | None = None
        self._number = 0
        self._dropped: dict[str, int] = {}
        own.renewal.held_back = True

    def set_engine(self, engine: engines.Engine) -> None:
        """Set the engine once it has recovered all runs.

        The promises that were made before hold until another notice.
        """
        self._engine = engine
        for name in self._ownership.leases_end:
            engine.withheld_names.add(name)
            endpoint = engine.endpoints.get(name)
            if endpoint is not None:
                endpoint.withheld = True
            else:
                self._dropped[name] = self._number + 1

    def inheritance(self, now: float) -> Inheritance:
        """Return what a notice that is composed now tells of leases."""
        own = self._ownership
        bound = own.inherited
        left = bound.until - now if bound is not None else 0.0
        return Inheritance(
            own.hosts_read,
            int(left * MS_PER_S) + 1 if left > 0 else 0,
            self._engine is not None,
        )

    def next_notice(
        self,
        now: float,
        releases: bool = False,
        hosts: frozenset[str] = frozenset(),
    ) -> tuple[int, dict[str, int]]:
        """Return a notice's number and the endpoints that it names.

        They are mapped to the rest of their leases in milliseconds. A notice
        that `releases` the ownership names all endpoints that have runs.
        `hosts` are the other hosts that are known now.
        """
        self._number += 1
        self._ownership.renewal.note_sent(
            self._number, now, hosts, self._engine is not None
        )
        if self._engine is None:
            return self._number, self._ownership.remaining_leases(now)
        named: dict[str, int] = {}
        for endpoint in self._engine.endpoints.values():
            if not endpoint.allocations and not endpoint.withheld:
                continue
            silent = endpoint.silent or (
                not endpoint.responsive
                and (endpoint.withheld or bool(endpoint.suspected_at))
            )
            if (silent or releases) and len(named) < MAX_NAMED_ENDPOINTS:
                named[endpoint.name] = self._name(endpoint, now)
            elif endpoint.withheld:
                self._dropped.setdefault(endpoint.name, self._number)
        return self._number, named

    def _name(self, endpoint: state.Endpoint, now: float) -> int:
        """Withhold an endpoint's leases; return their rest in ms."""
        endpoint.withheld = True
        assert self._engine is not None
        self._engine.withheld_names.add(endpoint.name)
        self._dropped.pop(endpoint.name, None)
        left = max(endpoint.leases_end() - now, 0.0)
        return int(left * MS_PER_S) + 1

    def lift_promises(self) -> list[str]:
        """Return the endpoints whose leases may be extended again.

        A notice in the log names them no more.
        """
        own = self._ownership
        if not self._dropped or self._engine is None:
            return []
        if own.held_epoch != self._epoch or own.epoch != self._epoch:
            return []
        lifted = [
            name
            for name, number in self._dropped.items()
            if own.notice_number >= number
        ]
        for name in lifted:
            del self._dropped[name]
            self._engine.withheld_names.discard(name)
            endpoint = self._engine.endpoints.get(name)
            if endpoint is not None:
                endpoint.withheld = False
        return lifted
