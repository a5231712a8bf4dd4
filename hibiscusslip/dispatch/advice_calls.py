"""Share the calls to the advice service among the steps that want one.

The service handles one call at a time for each host, so calls are scarce
while many steps wait. A call that a start can follow goes before one that
only renews the tickets of a step without free capacity, as steps that wait
for capacity would renew theirs over and over. A part of the calls remains for
renewals, as endpoints are reserved for steps with tickets only. Of the
services with steps that may start, the one with the fewest calls in progress
goes first.
"""

import collections
import dataclasses
import typing

LONG_CALL_S = 0.1
MAX_SHORT_LOAD_PER_HOST_S = 0.2  # pending short calls, in seconds of cost
MAX_SHORT_CALL_HOSTS = 2  # these make no long calls
BEYOND_SHARE = 0.5  # of the calls, for steps beyond an entitlement
RENEWAL_SHARE = 0.25  # of the calls, while steps that may start wait for one
WANTED_S = 0.3  # for which a call is left to a step that had to wait for one
ROUNDING_S = 1e-6  # of the sums of costs


class Kind(typing.NamedTuple):
    """Identify steps that largely compete for the same capacity."""

    service: str
    label: str = ''
    accelerated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Represent a call that a step wants or makes.

    It takes `cost` seconds. `tasks` is for how many tasks there is capacity
    that no other call is for, 0 if it only renews tickets; `task_size` is the
    main demand of one. Steps `beyond` an entitlement leave a part of the calls
    to others.
    """

    kind: Kind
    cost: float
    tasks: int
    task_size: int = 1
    beyond: bool = False

    @property
    def long(self) -> bool:
        """Return True if the call would delay many short ones."""
        return is_long_call(self.cost)


class AdviceCalls:
    """Count the calls in progress and decide whether the next may begin.

    Short and long calls are made by different hosts, so each compete with
    their like only.
    """

    def __init__(self) -> None:
        self._lanes = {False: _Lane(), True: _Lane()}
        self._claimed: collections.Counter[Kind] = collections.Counter()

    def unclaimed(self, kind: Kind, free_tasks: int, task_size: int) -> int:
        """Return how many of the free places no call in progress is for."""
        claimed = -(-self._claimed[kind] // task_size)
        return max(free_tasks - claimed, 0)

    def has_capacity(self, call: Call, hosts: int) -> bool:
        """Return True if the hosts can make a call without much queueing."""
        return not self.is_full(
            call.cost, call.beyond, hosts, renews=not call.tasks
        )

    def is_full(
        self, cost: float, beyond: bool, hosts: int, renews: bool = False
    ) -> bool:
        """Return True if a call of `cost` seconds would have to queue."""
        long = is_long_call(cost)
        capacity = _capacity(long, hosts)
        lane = self._lanes[long]
        amount = 1.0 if long else cost
        if lane.load + amount > capacity + ROUNDING_S:
            return True
        if not beyond:
            return False
        # Renewals make way for it, so they don't count against it.
        load = lane.load if renews else lane.load - lane.renewal_load
        return load >= BEYOND_SHARE * capacity

    def yields(self, call: Call, hosts: int, now: float) -> bool:
        """Return True if the next call is another step's."""
        lane = self._lanes[call.long]
        return lane.yields(call, _capacity(call.long, hosts), now)

    def note_wanted(self, call: Call, now: float) -> None:
        """Leave the next call to a step that may start, for a while."""
        if call.tasks:
            wanted = self._lanes[call.long].wanted
            wanted[call.kind.service, call.beyond] = now + WANTED_S

    def was_wanted(
        self, service: str, cost: float, beyond: bool, since: float
    ) -> bool:
        """Return True if a like call was noted as wanted since then."""
        wanted = self._lanes[is_long_call(cost)].wanted
        return wanted.get((service, beyond), 0.0) >= since + WANTED_S

    def begin(self, call: Call) -> None:
        """Count a call that begins."""
        lane = self._lanes[call.long]
        lane.add(call, 1)
        if call.tasks:
            lane.wanted.pop((call.kind.service, call.beyond), None)
        self._claimed[call.kind] += call.tasks * call.task_size

    def finish(self, call: Call) -> None:
        """Count a call no more, with or without a reply."""
        self._lanes[call.long].add(call, -1)
        self._claimed[call.kind] -= call.tasks * call.task_size
        if not self._claimed[call.kind]:
            del self._claimed[call.kind]


class _Lane:
    """The long or the short calls.

    `load` and `renewal_load` are in units of what limits them: long calls
    are counted, short ones are measured by their cost. `calls` counts those
    by service that a start can follow, `wanted` tells until when the next
    call is left to a service, and whether its step is beyond an entitlement.
    """

    def __init__(self) -> None:
        self.load = 0.0
        self.renewal_load = 0.0
        self.calls: collections.Counter[str] = collections.Counter()
        self.wanted: dict[tuple[str, bool], float] = {}

    def yields(self, call: Call, capacity: float, now: float) -> bool:
        """Return True if the next call is another step's."""
        for (service, beyond), until in list(self.wanted.items()):
            if until <= now:
                del self.wanted[service, beyond]
            elif call.tasks:
                fewer = self.calls[service] < self.calls[call.kind.service]
                if fewer and (call.beyond or not beyond):
                    return True
            elif self._exceeds_renewals(call, capacity, beyond):
                return True
        return False

    def _exceeds_renewals(
        self, call: Call, capacity: float, beyond: bool
    ) -> bool:
        """Return True if a renewal is one too many beside steps that wait.

        These are `beyond` an entitlement or not.
        """
        share = RENEWAL_SHARE
        if beyond and not call.beyond:
            share = 1.0 - BEYOND_SHARE
        return self.renewal_load + _amount(call) > share * capacity

    def add(self, call: Call, sign: int) -> None:
        """Count a call that begins, or with -1 one that has ended."""
        amount = sign * _amount(call)
        self.load += amount
        if call.tasks:
            self.calls[call.kind.service] += sign
        else:
            self.renewal_load += amount


def is_long_call(cost: float) -> bool:
    """Return True if a call of `cost` seconds would delay many short ones."""
    return cost > LONG_CALL_S


def hosts_for_short_calls(hosts: int) -> int:
    """Return how many of the hosts make short calls only."""
    return min(MAX_SHORT_CALL_HOSTS, hosts // 2)


def _amount(call: Call) -> float:
    return 1.0 if call.long else call.cost


def _capacity(long: bool, hosts: int) -> float:
    if long:
        return hosts - hosts_for_short_calls(hosts)
    return MAX_SHORT_LOAD_PER_HOST_S * hosts
