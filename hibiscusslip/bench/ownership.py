"""Measure what ownership costs and how long a take-over lasts.

Run `python -m hibiscusslip.bench.ownership`; it needs no network, as time
and the log are virtual.
"""

import dataclasses
import random
import statistics
import time
import tracemalloc

from hibiscusslip.membership import members
from hibiscusslip.model import places
from hibiscusslip.ownership import actions
from hibiscusslip.ownership import owner
from hibiscusslip.ownership import timing as timing_
from hibiscusslip.peer import messages
from hibiscusslip.records import zone as zone_records

STEP = 0.05
APPEND_TIME = 0.05
WARM_UP = 20.0
HOSTS_A_ZONE = 3
ZONES = 23


@dataclasses.dataclass(slots=True)
class Due:
    """Hold a record that lands at a time."""

    at: float
    record: zone_records.ZoneRecord
    host: owner.Ownership


class Zone:
    """Run the hosts of one zone over a log without faults."""

    def __init__(self, hosts: int, shards: int, seed: int) -> None:
        self.timing = timing_.Timing()
        self.now = 0.0
        self.log: list[zone_records.ZoneRecord] = []
        self.log_up = True
        self.promises = 0
        self.shards = shards
        self._due: list[Due] = []
        self.hosts: dict[places.HostId, owner.Ownership] = {}
        for number in range(hosts):
            me = places.HostId(f'h{number}', '1')
            rng = random.Random(seed * 100 + number)
            self.hosts[me] = owner.Ownership(
                me, f'z{seed}', shards, self.timing, rng, 0.0
            )

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        for _ in range(round(seconds / STEP)):
            self.step()

    def step(self) -> None:
        """Advance by one step and let each host act."""
        self.now += STEP
        self._land()
        present = [members.Member(host, self.zone) for host in self.hosts]
        for me, own in list(self.hosts.items()):
            self._read(own)
            own.set_members(present, self.now)
            for action in own.tick(self.now):
                self._perform(me, own, action)

    @property
    def zone(self) -> str:
        """Return the name that all hosts share."""
        return next(iter(self.hosts.values())).zone

    def _land(self) -> None:
        while self._due and self._due[0].at <= self.now:
            due = self._due.pop(0)
            if self.log_up:
                self.log.append(due.record)
                settled = owner.AppendOutcome.APPENDED
            else:
                settled = owner.AppendOutcome.REFUSED
            due.host.on_append_outcome(due.record.record_id, settled, self.now)

    def _read(self, own: owner.Ownership) -> None:
        if not self.log_up:
            return
        for offset in range(own.ledger.next_offset, len(self.log)):
            own.on_record(offset, self.log[offset], self.now)
        own.on_caught_up(len(self.log), self.now)

    def _perform(
        self,
        me: places.HostId,
        own: owner.Ownership,
        action: actions.Action,
    ) -> None:
        if isinstance(action, actions.AppendRecord):
            own.on_append_sent(action.record.record_id, self.now)
            at = self.now + APPEND_TIME
            self._due.append(Due(at, action.record, own))
        elif isinstance(action, actions.Introduce):
            other = self.hosts[action.host]
            reply = other.on_introduction_request(me, action.request, self.now)
            if isinstance(reply, messages.IntroductionReply):
                own.on_introduction_reply(action.host, reply, self.now)
        elif isinstance(action, actions.RequestPromise):
            self.promises += 1
            asked = self.hosts[action.host]
            granted = asked.on_promise_request(me, action.request, self.now)
            own.on_promise_reply(action.host, granted, self.now)

    def idle(self) -> list[int]:
        """Return the shards that nobody may act on."""
        return [
            shard
            for shard in range(self.shards)
            if not any(
                own.may_act(shard, self.now) for own in self.hosts.values()
            )
        ]


def appends_a_second(zones: int, shards: int) -> float:
    """Return the appends a second of all zones in steady state."""
    seconds = 60.0
    total = 0
    for seed in range(zones):
        zone = Zone(HOSTS_A_ZONE, shards, seed)
        zone.run(WARM_UP)
        before = len(zone.log)
        zone.run(seconds)
        total += len(zone.log) - before
    return total / seconds


def promises_a_second() -> float:
    """Return one zone's promise requests a second without the log."""
    seconds = 60.0
    zone = Zone(HOSTS_A_ZONE, 16, 1)
    zone.run(WARM_UP)
    zone.log_up = False
    zone.run(WARM_UP)
    before = zone.promises
    zone.run(seconds)
    assert not zone.idle()
    return (zone.promises - before) / seconds


def take_over_times(runs: int) -> list[float]:
    """Return the seconds without service after the death of an owner."""
    times = []
    for seed in range(runs):
        zone = Zone(HOSTS_A_ZONE, 16, seed)
        zone.run(WARM_UP + random.Random(seed).uniform(0, 3))
        held = [
            (len(own.owned(zone.now)), host)
            for host, own in zone.hosts.items()
        ]
        del zone.hosts[max(held)[1]]
        died_at = zone.now
        while zone.idle():
            zone.step()
        times.append(zone.now - died_at)
    return times


def tick_cost(shards: int) -> tuple[float, float]:
    """Return microseconds a tick and KiB held, for one host of a zone."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    zone = Zone(1, shards, 1)
    zone.run(WARM_UP)
    zone.log.clear()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    zone = Zone(HOSTS_A_ZONE, shards, 1)
    zone.run(WARM_UP)
    own = next(iter(zone.hosts.values()))
    count = 400
    start = time.perf_counter()
    for _ in range(count):
        own.tick(zone.now)
    spent = time.perf_counter() - start
    return spent / count * 1e6, (after - before) / 1024


def main() -> None:
    """Print all figures."""
    print(f'timing: {timing_.Timing()}')
    for zones, shards in ((1, 16), (ZONES, 16), (1, 128)):
        rate = appends_a_second(zones, shards)
        print(
            f'{zones} zones x {HOSTS_A_ZONE} hosts, {shards} shards a zone:'
            f' {rate:.2f} appends/s'
        )
    print(f'log down: {promises_a_second():.2f} promise requests/s a zone')
    times = sorted(take_over_times(50))
    print(
        f'death to new owner: median {statistics.median(times):.2f} s,'
        f' least {times[0]:.2f} s, most {times[-1]:.2f} s, 50 runs'
    )
    for shards in (16, 110, 2500):
        spent, size = tick_cost(shards)
        print(f'{shards} shards: {spent:.0f} us a tick, {size:.0f} KiB held')


if __name__ == '__main__':
    main()
