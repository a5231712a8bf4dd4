"""Simulate the owners of one zone on a log and a network with faults."""

import dataclasses
import functools
import random

from hibiscusslip.membership import members
from hibiscusslip.membership import pacing
from hibiscusslip.model import places
from hibiscusslip.ownership import actions
from hibiscusslip.ownership import owner
from hibiscusslip.ownership import timing
from hibiscusslip.peer import messages
from hibiscusslip.platform import base as platform
from hibiscusslip.records import zone

SHARDS = 2
STEP_S = 0.25
MAX_DRIFT = 0.02
SETTLE_S = 1.0
MIN_RETENTION_S = 40.0
LIST_LAG_S = 2.0
TIMING = timing.Timing(
    lease=4.0,
    promise=3.0,
    drift=MAX_DRIFT,
    margin=0.2,
    settle=SETTLE_S,
    renew_interval=1.0,
    promise_interval=0.5,
    heartbeat=0.5,
    stagger=0.5,
    snapshot_interval=12.0,
    list_lag=8.0,
)
PACING = pacing.Pacing(
    suspect_after=1.5, forget_after=30.0, list_lag=8.0, max_hosts=32
)


@dataclasses.dataclass
class InjectedFaults:
    """Select the parts to break on purpose; none by default."""

    ownership: type[owner.Ownership] = owner.Ownership
    durations: timing.Timing = TIMING
    check_after_write: bool = True
    check_healed: bool = True


class Log:
    """Store all records and the expected holdings at each offset."""

    def __init__(self):
        self.records = []
        self.times = []
        self.holdings = [{}]
        self.first = 0
        self.late = []

    def append(self, record, now):
        self.records.append(record)
        self.times.append(now)
        self.holdings.append(
            next_holdings(self.holdings[-1], record, self.records)
        )
        return len(self.records) - 1

    def trim(self, now):
        while self.first < len(self.records):
            if self.times[self.first] > now - MIN_RETENTION_S:
                return
            self.first += 1


def next_holdings(holdings, record, records):
    """Return the expected (host, epoch, seq) by shard after a record."""
    holdings = dict(holdings)
    if isinstance(record, zone.Snapshot):
        is_bootstrap = record.epoch == record.as_of + 2 and not record.host
        since = records[record.as_of + 1 : -1]
        if is_bootstrap and not any(
            has_entry_for(r, record.shard) for r in since
        ):
            holdings[record.shard] = (None, record.epoch, 0)
        return holdings
    me = (record.host, record.incarnation)
    for entry in record.entries:
        holder, epoch, seq = holdings.get(entry.shard, (None, 0, 0))
        if (epoch, seq) != (entry.epoch, entry.seq):
            continue
        if isinstance(record, zone.Claim):
            holdings[entry.shard] = (me, epoch + 1, 1)
        elif holder == me and isinstance(record, zone.Renewal):
            holdings[entry.shard] = (me, epoch, seq + 1)
        elif holder == me:
            to_host = (record.to_host, record.to_incarnation)
            holdings[entry.shard] = (to_host, epoch + 1, 1)
    return holdings


def has_entry_for(record, shard):
    if isinstance(record, zone.Snapshot):
        is_bootstrap = record.epoch == record.as_of + 2 and not record.host
        return is_bootstrap and record.shard == shard
    return any(entry.shard == shard for entry in record.entries)


@dataclasses.dataclass
class Write:
    """Represent a send to an endpoint that may still be in flight."""

    host: places.HostId
    shard: int
    epoch: int
    arrives: float


class Host:
    """Run one owner with its own clock, as the daemon does.

    `log_mode` selects how the host sees the log:

    - ok: appends and reads succeed.
    - cut: the log is unreachable; no append has an effect.
    - never: appends get no response and have no effect.
    - lost: appends succeed, but their responses are lost.
    - late: as lost, and the records are appended up to 12 seconds later.
    - slow: appends succeed, but both effect and response are delayed.
    - hang: the next append ends as late or never, then the log is cut.
    - blind: appends succeed, but the log can't be read.
    - laggy: appends succeed, but 9 of 10 reads fail.
    """

    def __init__(self, world, name, incarnation, rate, offset):
        self.world = world
        self.id = places.HostId(name, incarnation)
        self.rate = rate
        self.offset = offset
        self.log_mode = 'ok'
        self.paused_until = -1.0
        self.pause_at = ''
        self.checked_lease = None
        self.pending_actions = []
        self.inbox = []
        self.plans = {}
        self.writes = []
        rng = random.Random(world.rng.random())
        now = self.now()
        faults = world.faults
        self.ownership = faults.ownership(
            self.id, 'z', SHARDS, faults.durations, rng, now
        )
        self.members = members.Members(self.id, 'z', PACING, rng, now)
        self.listed_at = now - 100
        self.listed = False
        self.list_up = True

    def now(self):
        return self.world.time * self.rate + self.offset

    def paused(self):
        return self.world.time < self.paused_until

    def pause_here(self, point):
        """Pause the process if a pause at this point was requested."""
        if self.pause_at != point:
            return False
        self.pause_at = ''
        self.paused_until = self.world.time + self.world.pause
        return True

    def step(self):
        if self.paused():
            return
        if self.checked_lease is not None:
            self.write()
        self.deliver()
        self.read()
        self.update_members()
        self.pending_actions.extend(self.ownership.tick(self.now()))
        if self.pause_here('before_actions'):
            return
        while self.pending_actions:
            self.perform(self.pending_actions.pop(0))
        self.advance_transfers()
        self.act()

    def deliver(self):
        due = [m for m in self.inbox if m[0] <= self.world.time]
        self.inbox = [m for m in self.inbox if m[0] > self.world.time]
        for _, handle in due:
            handle()

    def read(self):
        log = self.world.log
        if self.log_mode in ('cut', 'blind'):
            return
        if self.log_mode == 'laggy' and self.world.rng.random() < 0.9:
            return
        offset = self.ownership.ledger.next_offset
        if offset < log.first:
            self.ownership.on_gap(log.first, self.now())
            offset = log.first
        end = len(log.records)
        for index in range(offset, end):
            self.ownership.on_record(index, log.records[index], self.now())
        self.ownership.on_caught_up(end, self.now())
        self.check_ledger()

    def check_ledger(self):
        ledger = self.ownership.ledger
        holdings = self.world.log.holdings[ledger.next_offset]
        for shard in range(SHARDS):
            holding = ledger.latest(shard)
            if holding is None:
                continue
            host = holding.host and (
                holding.host.name,
                holding.host.incarnation,
            )
            seen = (host, holding.epoch, holding.seq)
            assert seen == holdings.get(shard, (None, 0, 0)), 'readers differ'

    def update_members(self):
        now = self.now()
        if now - self.listed_at > 1.0 and self.list_up:
            self.listed_at = now
            self.listed = True
            for host in self.ownership.possible_holders():
                self.members.on_named_in_log(host, 'z', now)
            for host in self.members.on_listing(self.world.listing(), now):
                self.ownership.on_process_ended(host, now)
        for heartbeat in self.members.tick(now):
            message = messages.Heartbeat(
                heartbeat.number,
                self.ownership.draining,
                0,
                [],
                heartbeat.known_hosts,
            )
            self.world.send(self, heartbeat.name, 'on_heartbeat', message)
        self.ownership.set_members(self.members.members(now), now, self.listed)

    def on_heartbeat(self, sender, message):
        now = self.now()
        self.members.on_heartbeat(sender, 'z', sender.name, 1, message, now)
        ack = messages.HeartbeatAck(
            message.number, self.ownership.draining, 0, [], []
        )
        self.world.send(self, sender.name, 'on_heartbeat_ack', ack)

    def on_heartbeat_ack(self, sender, ack):
        proof = self.members.on_ack(sender, ack, self.now())
        if proof is not None:
            self.ownership.on_heartbeat_ack(sender, proof.sent_at, self.now())
            for host in proof.ended:
                self.ownership.on_process_ended(host, self.now())

    def perform(self, action):
        if isinstance(action, actions.AppendRecord):
            self.append(action.record)
        elif isinstance(action, actions.RequestPromise):
            self.world.send(
                self,
                action.host.name,
                'on_promise_request',
                action.request,
                action.host,
            )
        elif isinstance(action, actions.Introduce):
            self.world.send(
                self,
                action.host.name,
                'on_introduction_request',
                action.request,
            )
        elif isinstance(action, actions.SnapshotDue):
            self.append(
                zone.Snapshot(
                    f'{self.id}/snap{self.world.next_id()}',
                    action.shard,
                    action.epoch,
                    action.seq,
                    self.id.name,
                    self.id.incarnation,
                    action.as_of,
                    0,
                    1,
                    [],
                )
            )
        elif isinstance(action, actions.SuggestTransfer):
            self.plan(action)

    def on_promise_request(self, sender, request):
        reply = self.ownership.on_promise_request(sender, request, self.now())
        self.world.send(self, sender.name, 'on_promise_reply', reply)

    def on_promise_reply(self, sender, reply):
        self.ownership.on_promise_reply(sender, reply, self.now())

    def on_introduction_request(self, sender, request):
        reply = self.ownership.on_introduction_request(
            sender, request, self.now()
        )
        if isinstance(reply, messages.IntroductionReply):
            self.world.send(self, sender.name, 'on_introduction_reply', reply)

    def on_introduction_reply(self, sender, reply):
        self.ownership.on_introduction_reply(sender, reply, self.now())

    def append(self, record):
        self.ownership.on_append_sent(record.record_id, self.now())
        if self.pause_here('in_append'):
            pass
        world, rng = self.world, self.world.rng
        mode, outcome = self.log_mode, owner.AppendOutcome.APPENDED
        if mode == 'hang':
            self.log_mode = 'cut'
            mode = rng.choice(['late', 'never'])
        if mode == 'cut':
            outcome = rng.choice(
                [owner.AppendOutcome.REFUSED, owner.AppendOutcome.UNKNOWN]
            )
        elif mode == 'never':
            outcome = owner.AppendOutcome.UNKNOWN
        elif mode == 'lost':
            world.append_later(record, rng.uniform(0, 0.5))
            outcome = owner.AppendOutcome.UNKNOWN
        elif mode == 'late':
            world.append_later(record, rng.uniform(1.0, 12.0))
            outcome = owner.AppendOutcome.UNKNOWN
        elif mode == 'slow':
            world.append_later(record, rng.uniform(0.2, 3.0))
            world.schedule(
                self, rng.uniform(3.0, 6.0), self.report_outcome, record
            )
            return
        else:
            world.append_later(record, 0.0)
        world.schedule(
            self, rng.uniform(0, 0.5), self.report_outcome, record, outcome
        )

    def report_outcome(self, record, outcome=owner.AppendOutcome.APPENDED):
        self.ownership.on_append_outcome(record.record_id, outcome, self.now())

    def plan(self, suggestion):
        plan = self.ownership.plan_transfer(
            suggestion.shard, suggestion.successor, self.now()
        )
        if isinstance(plan, actions.TransferPlan):
            self.plans[plan.transfer_id] = [plan, self.now() + 2.0, False]
            self.world.send(
                self,
                suggestion.successor.name,
                'on_transfer_state',
                plan.transfer_id,
                suggestion.successor,
            )

    def on_transfer_state(self, sender, transfer_id):
        accepted = self.ownership.on_state_received(transfer_id, self.now())
        reply_method = 'on_transfer_ack' if accepted else 'on_transfer_refused'
        self.world.send(self, sender.name, reply_method, transfer_id)

    def on_transfer_refused(self, sender, transfer_id):
        if transfer_id in self.plans:
            self.ownership.cancel_transfer(self.plans.pop(transfer_id)[0])

    def on_transfer_ack(self, sender, transfer_id):
        if transfer_id in self.plans:
            self.plans[transfer_id][2] = True

    def advance_transfers(self):
        for key, (plan, until, confirmed) in list(self.plans.items()):
            sending = any(w.shard == plan.shard for w in self.writes)
            if confirmed and not sending:
                if self.ownership.commit_transfer(plan, self.now()) is None:
                    del self.plans[key]
                    continue
            if self.now() > until:
                self.ownership.cancel_transfer(plan)
                del self.plans[key]
        self.pending_actions.extend(self.ownership.tick(self.now()))

    def act(self):
        """Check each lease, pause if requested, and send."""
        self.writes = [w for w in self.writes if w.arrives > self.world.time]
        for shard in range(SHARDS):
            if self.ownership.may_act(shard, self.now()):
                self.checked_lease = (shard, self.ownership.epoch(shard))
                if self.pause_here('in_send'):
                    return
                self.write()

    def write(self):
        (shard, epoch), self.checked_lease = self.checked_lease, None
        still = self.ownership.may_act(shard, self.now())
        if self.world.faults.check_after_write:
            if not still or self.ownership.epoch(shard) != epoch:
                return
        delay = self.world.rng.choice([0.0, 0.1, SETTLE_S * 0.9])
        write = Write(self.id, shard, epoch, self.world.time + delay)
        self.writes.append(write)
        self.world.writes.append(write)


class World:
    """Run the hosts and their network, and check the invariants."""

    def __init__(self, seed, faults):
        self.rng = random.Random(seed)
        self.faults = faults
        self.time = 0.0
        self.pause = 1.0
        self.delays = [0.0, 0.1, 0.6]
        self.log = Log()
        self.hosts = []
        self.partitions = set()
        self.writes = []
        self.started_at = {}
        self.crashed_at = {}
        self.delayed_appends = []
        self._ids = 0

    def next_id(self):
        self._ids += 1
        return self._ids

    def start(self, name):
        rate = 1 + self.rng.choice([-MAX_DRIFT, 0, MAX_DRIFT]) * 0.99
        host = Host(
            self,
            name,
            f'i{self.next_id()}',
            rate,
            self.rng.uniform(0, 1000),
        )
        self.hosts.append(host)
        self.started_at[name] = self.time
        self.crashed_at.pop(name, None)
        return host

    def crash(self, host):
        self.hosts.remove(host)
        self.crashed_at[host.id.name] = self.time

    def listing(self):
        """Return the platform's host list, which lags by LIST_LAG_S."""
        then = self.time - LIST_LAG_S
        return [
            platform.EntryHostInfo(name, 'z', name, 1)
            for name, started_at in sorted(self.started_at.items())
            if started_at <= then
            and self.crashed_at.get(name, self.time) >= then
        ]

    def send(self, sender, name, method, message, only=None):
        pair = frozenset((sender.id.name, name))
        if pair in self.partitions:
            return
        for host in self.hosts:
            if host.id.name == name and only in (None, host.id):
                arrives = self.time + self.rng.choice(self.delays)
                handle = getattr(host, method)
                call = functools.partial(handle, sender.id, message)
                host.inbox.append((arrives, call))

    def schedule(self, host, delay, handle, *args):
        call = functools.partial(handle, *args)
        host.inbox.append((self.time + delay, call))

    def append_later(self, record, delay):
        self.delayed_appends.append(
            (self.time + delay, self.next_id(), record)
        )

    def advance(self, steps):
        for _ in range(steps):
            self.time += STEP_S
            self.apply_due_appends()
            for host in self.rng.sample(self.hosts, len(self.hosts)):
                host.step()
                self.apply_due_appends()
                self.check()

    def apply_due_appends(self):
        for item in sorted(self.delayed_appends):
            if item[0] <= self.time:
                self.delayed_appends.remove(item)
                self.log.append(item[2], self.time)

    def acting(self, shard):
        return [
            host.id
            for host in self.hosts
            if host.ownership.may_act(shard, host.now())
        ]

    def check(self):
        for shard in range(SHARDS):
            acting = self.acting(shard)
            assert len(acting) <= 1, f'{acting} act on {shard}'
            for write in self.writes:
                if write.shard == shard and write.arrives > self.time - STEP_S:
                    other = [h for h in acting if h != write.host]
                    assert not other, f'{write} arrives while {other} act'
        self.writes = [
            w for w in self.writes if w.arrives > self.time - STEP_S
        ]

    def heal(self):
        """Clear all faults and check that each shard gets an owner."""
        if not self.faults.check_healed:
            return
        self.partitions.clear()
        for host in self.hosts:
            host.log_mode = 'ok'
            host.list_up = True
            host.pause_at = ''
            host.paused_until = -1.0
        serving = [h for h in self.hosts if not h.ownership.draining]
        if not serving:
            return
        self.advance(int(40 / STEP_S))
        for shard in range(SHARDS):
            seen = set()
            for _ in range(20):
                self.advance(1)
                seen.update(self.acting(shard))
            assert seen, f'no host acts on {shard} without faults'
