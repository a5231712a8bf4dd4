"""Measure the cost of shard ownership and the time of a failover.

Run `python -m hibiscusslip.bench.ownership`; it needs no network, as time
and the log are simulated.
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
from hibiscusslip.ownership import timing as ownership_timing
from hibiscusslip.peer import messages
from hibiscusslip.records import zone as zone_records

STEP_S = 0.05
APPEND_S = 0.05
WARM_UP_S = 20.0
HOSTS_PER_ZONE = 3
ZONES = 23


@dataclasses.dataclass(slots=True)
class PendingAppend:
    """Represent an append that completes at a time."""

    at: float
    record: zone_records.ZoneRecord
    host: owner.Ownership


class Zone:
    """Simulate the hosts of one zone and a log without faults."""

    def __init__(self, hosts: int, shards: int, seed: int) -> None:
        self.timing = ownership_timing.Timing()
        self.now = 0.0
        self.log: list[zone_records.ZoneRecord] = []
        self.log_available = True
        self.promises = 0
        self.shards = shards
        self._pending: list[PendingAppend] = []
        self.hosts: dict[places.HostId, owner.Ownership] = {}
        for number in range(hosts):
            host_id = places.HostId(f'h{number}', '1')
            rng = random.Random(seed * 100 + number)
            self.hosts[host_id] = owner.Ownership(
                host_id, f'z{seed}', shards, self.timing, rng, 0.0
            )

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self) -> None:
        """Advance by one step and let each host act."""
        self.now += STEP_S
        self._complete_appends()
        present = [members.Member(host, self.zone) for host in self.hosts]
        for host_id, ownership in list(self.hosts.items()):
            self._read_log(ownership)
            ownership.set_members(present, self.now)
            for action in ownership.tick(self.now):
                self._perform(host_id, ownership, action)

    @property
    def zone(self) -> str:
        """Return the name of the zone."""
        return next(iter(self.hosts.values())).zone

    def _complete_appends(self) -> None:
        while self._pending and self._pending[0].at <= self.now:
            pending = self._pending.pop(0)
            if self.log_available:
                self.log.append(pending.record)
                outcome = owner.AppendOutcome.APPENDED
            else:
                outcome = owner.AppendOutcome.REFUSED
            pending.host.on_append_outcome(
                pending.record.record_id, outcome, self.now
            )

    def _read_log(self, ownership: owner.Ownership) -> None:
        if not self.log_available:
            return
        for offset in range(ownership.ledger.next_offset, len(self.log)):
            ownership.on_record(offset, self.log[offset], self.now)
        ownership.on_caught_up(len(self.log), self.now)

    def _perform(
        self,
        host_id: places.HostId,
        ownership: owner.Ownership,
        action: actions.Action,
    ) -> None:
        if isinstance(action, actions.AppendRecord):
            ownership.on_append_sent(action.record.record_id, self.now)
            at = self.now + APPEND_S
            self._pending.append(PendingAppend(at, action.record, ownership))
        elif isinstance(action, actions.Introduce):
            other = self.hosts[action.host]
            reply = other.on_introduction_request(
                host_id, action.request, self.now
            )
            if isinstance(reply, messages.IntroductionReply):
                ownership.on_introduction_reply(action.host, reply, self.now)
        elif isinstance(action, actions.RequestPromise):
            self.promises += 1
            grantor = self.hosts[action.host]
            promise_reply = grantor.on_promise_request(
                host_id, action.request, self.now
            )
            ownership.on_promise_reply(action.host, promise_reply, self.now)

    def unowned_shards(self) -> list[int]:
        """Return the shards that no host may act on."""
        return [
            shard
            for shard in range(self.shards)
            if not any(
                ownership.may_act(shard, self.now)
                for ownership in self.hosts.values()
            )
        ]


def appends_per_second(zones: int, shards: int) -> float:
    """Return the appends per second of all zones in steady state."""
    seconds = 60.0
    total = 0
    for seed in range(zones):
        zone = Zone(HOSTS_PER_ZONE, shards, seed)
        zone.run(WARM_UP_S)
        before = len(zone.log)
        zone.run(seconds)
        total += len(zone.log) - before
    return total / seconds


def promises_per_second() -> float:
    """Return a zone's promise requests per second while the log is down."""
    seconds = 60.0
    zone = Zone(HOSTS_PER_ZONE, 16, 1)
    zone.run(WARM_UP_S)
    zone.log_available = False
    zone.run(WARM_UP_S)
    before = zone.promises
    zone.run(seconds)
    assert not zone.unowned_shards()
    return (zone.promises - before) / seconds


def failover_times(runs: int) -> list[float]:
    """Return the seconds until all shards of a failed host have owners."""
    times = []
    for seed in range(runs):
        zone = Zone(HOSTS_PER_ZONE, 16, seed)
        zone.run(WARM_UP_S + random.Random(seed).uniform(0, 3))
        held = [
            (len(ownership.owned(zone.now)), host)
            for host, ownership in zone.hosts.items()
        ]
        del zone.hosts[max(held)[1]]
        failed_at = zone.now
        while zone.unowned_shards():
            zone.step()
        times.append(zone.now - failed_at)
    return times


def tick_cost(shards: int) -> tuple[float, float]:
    """Return the microseconds of a tick and the KiB that a host allocates."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    zone = Zone(1, shards, 1)
    zone.run(WARM_UP_S)
    zone.log.clear()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    zone = Zone(HOSTS_PER_ZONE, shards, 1)
    zone.run(WARM_UP_S)
    ownership = next(iter(zone.hosts.values()))
    count = 400
    start = time.perf_counter()
    for _ in range(count):
        ownership.tick(zone.now)
    spent = time.perf_counter() - start
    return spent / count * 1e6, (after - before) / 1024


def main() -> None:
    """Print all measurements."""
    print(f'timing: {ownership_timing.Timing()}')
    for zones, shards in ((1, 16), (ZONES, 16), (1, 128)):
        rate = appends_per_second(zones, shards)
        print(
            f'{zones} zones x {HOSTS_PER_ZONE} hosts, {shards} shards a zone:'
            f' {rate:.2f} appends/s'
        )
    print(f'log down: {promises_per_second():.2f} promise requests/s a zone')
    times = sorted(failover_times(50))
    print(
        f'owner failure to new owner: median {statistics.median(times):.2f} s,'
        f' min {times[0]:.2f} s, max {times[-1]:.2f} s, 50 runs'
    )
    for shards in (16, 110, 2500):
        spent, size = tick_cost(shards)
        print(f'{shards} shards: {spent:.0f} us a tick, {size:.0f} KiB held')


if __name__ == '__main__':
    main()
