"""Run several owners in one zone over a log and a network that fail."""

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
STEP = 0.25
DRIFT = 0.02
SETTLE = 1.0
MIN_KEPT = 40.0
LIST_LAG = 2.0
TIMING = timing.Timing(
    lease=4.0,
    promise=3.0,
    drift=DRIFT,
    margin=0.2,
    settle=SETTLE,
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
class Plant:
    """Name what is broken on purpose; nothing by default."""

    ownership: type[owner.Ownership] = owner.Ownership
    durations: timing.Timing = TIMING
    check_after_write: bool = True
    check_healed: bool = True


class Log:
    """Keep all records, the true holder at each offset, and what is late."""

    def __init__(self):
        self.records = []
        self.times = []
        self.truth = [{}]
        self.first = 0
        self.late = []

    def land(self, record, now):
        self.records.append(record)
        self.times.append(now)
        self.truth.append(after(self.truth[-1], record, self.records))
        return len(self.records) - 1

    def trim(self, now):
        while self.first < len(self.records):
            if self.times[self.first] > now - MIN_KEPT:
                return
            self.first += 1


def after(held, record, records):
    """Return the true (host, epoch, seq) by shard after a record."""
    held = dict(held)
    if isinstance(record, zone.Snapshot):
        founding = record.epoch == record.as_of + 2 and not record.host
        since = records[record.as_of + 1 : -1]
        if founding and not any(names(r, record.shard) for r in since):
            held[record.shard] = (None, record.epoch, 0)
        return held
    me = (record.host, record.incarnation)
    for entry in record.entries:
        holder, epoch, seq = held.get(entry.shard, (None, 0, 0))
        if (epoch, seq) != (entry.epoch, entry.seq):
            continue
        if isinstance(record, zone.Claim):
            held[entry.shard] = (me, epoch + 1, 1)
        elif holder == me and isinstance(record, zone.Renewal):
            held[entry.shard] = (me, epoch, seq + 1)
        elif holder == me:
            to_host = (record.to_host, record.to_incarnation)
            held[entry.shard] = (to_host, epoch + 1, 1)
    return held


def names(record, shard):
    if isinstance(record, zone.Snapshot):
        founding = record.epoch == record.as_of + 2 and not record.host
        return founding and record.shard == shard
    return any(entry.shard == shard for entry in record.entries)


@dataclasses.dataclass
class Write:
    """Hold one send to an endpoint that may still be on its way."""

    host: places.HostId
    shard: int
    epoch: int
    arrives: float


class Host:
    """Run one owner with its own clock, as a node would."""

    def __init__(self, world, name, incarnation, rate, offset):
        self.world = world
        self.id = places.HostId(name, incarnation)
        self.rate = rate
        self.offset = offset
        self.log_mode = 'ok'
        self.paused_until = -1.0
        self.pause_at = ''
        self.checked = None
        self.todo = []
        self.inbox = []
        self.plans = {}
        self.writes = []
        rng = random.Random(world.rng.random())
        now = self.now()
        plant = world.plant
        self.own = plant.ownership(
            self.id, 'z', SHARDS, plant.durations, rng, now
        )
        self.members = members.Members(self.id, 'z', PACING, rng, now)
        self.listed_at = now - 100
        self.listed = False
        self.list_up = True

    def now(self):
        return self.world.time * self.rate + self.offset

    def paused(self):
        return self.world.time < self.paused_until

    def stall(self, point):
        """Stop here for as long as a pause at this point was asked for."""
        if self.pause_at != point:
            return False
        self.pause_at = ''
        self.paused_until = self.world.time + self.world.pause
        return True

    def step(self):
        if self.paused():
            return
        if self.checked is not None:
            self.write()
        self.deliver()
        self.read()
        self.follow_members()
        self.todo.extend(self.own.tick(self.now()))
        if self.stall('before_actions'):
            return
        while self.todo:
            self.perform(self.todo.pop(0))
        self.hand_over()
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
        offset = self.own.ledger.next_offset
        if offset < log.first:
            self.own.on_gap(log.first, self.now())
            offset = log.first
        end = len(log.records)
        for index in range(offset, end):
            self.own.on_record(index, log.records[index], self.now())
        self.own.on_caught_up(end, self.now())
        self.check_ledger()

    def check_ledger(self):
        ledger = self.own.ledger
        truth = self.world.log.truth[ledger.next_offset]
        for shard in range(SHARDS):
            holding = ledger.latest(shard)
            if holding is None:
                continue
            host = holding.host and (
                holding.host.name,
                holding.host.incarnation,
            )
            seen = (host, holding.epoch, holding.seq)
            assert seen == truth.get(shard, (None, 0, 0)), 'readers differ'

    def follow_members(self):
        now = self.now()
        if now - self.listed_at > 1.0 and self.list_up:
            self.listed_at = now
            self.listed = True
            for host in self.own.possible_holders():
                self.members.on_named_in_log(host, 'z', now)
            for host in self.members.on_listing(self.world.listing(), now):
                self.own.on_process_ended(host, now)
        for beat in self.members.tick(now):
            message = messages.Heartbeat(
                beat.number, self.own.draining, 0, [], beat.known_hosts
            )
            self.world.send(self, beat.name, 'on_beat', message)
        self.own.set_members(self.members.members(now), now, self.listed)

    def on_beat(self, sender, message):
        now = self.now()
        self.members.on_heartbeat(sender, 'z', sender.name, 1, message, now)
        ack = messages.HeartbeatAck(
            message.number, self.own.draining, 0, [], []
        )
        self.world.send(self, sender.name, 'on_beat_ack', ack)

    def on_beat_ack(self, sender, ack):
        answered = self.members.on_ack(sender, ack, self.now())
        if answered is not None:
            self.own.on_answered(sender, answered.sent_at, self.now())
            for host in answered.ended:
                self.own.on_process_ended(host, self.now())

    def perform(self, action):
        if isinstance(action, actions.AppendRecord):
            self.append(action.record)
        elif isinstance(action, actions.RequestPromise):
            self.world.send(
                self, action.host.name, 'on_ask', action.request, action.host
            )
        elif isinstance(action, actions.Introduce):
            self.world.send(self, action.host.name, 'on_intro', action.request)
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

    def on_ask(self, sender, request):
        reply = self.own.on_promise_request(sender, request, self.now())
        self.world.send(self, sender.name, 'on_promise', reply)

    def on_promise(self, sender, reply):
        self.own.on_promise_reply(sender, reply, self.now())

    def on_intro(self, sender, request):
        reply = self.own.on_introduction_request(sender, request, self.now())
        if isinstance(reply, messages.IntroductionReply):
            self.world.send(self, sender.name, 'on_intro_reply', reply)

    def on_intro_reply(self, sender, reply):
        self.own.on_introduction_reply(sender, reply, self.now())

    def append(self, record):
        self.own.on_append_sent(record.record_id, self.now())
        if self.stall('in_append'):
            pass
        world, rng = self.world, self.world.rng
        mode, settled = self.log_mode, owner.AppendOutcome.APPENDED
        if mode == 'hang':
            self.log_mode = 'cut'
            mode = rng.choice(['late', 'never'])
        if mode == 'cut':
            settled = rng.choice(
                [owner.AppendOutcome.REFUSED, owner.AppendOutcome.UNKNOWN]
            )
        elif mode == 'never':
            settled = owner.AppendOutcome.UNKNOWN
        elif mode == 'lost':
            world.land_later(record, rng.uniform(0, 0.5))
            settled = owner.AppendOutcome.UNKNOWN
        elif mode == 'late':
            world.land_later(record, rng.uniform(1.0, 12.0))
            settled = owner.AppendOutcome.UNKNOWN
        elif mode == 'slow':
            world.land_later(record, rng.uniform(0.2, 3.0))
            world.later(self, rng.uniform(3.0, 6.0), self.settle, record)
            return
        else:
            world.land_later(record, 0.0)
        world.later(self, rng.uniform(0, 0.5), self.settle, record, settled)

    def settle(self, record, settled=owner.AppendOutcome.APPENDED):
        self.own.on_append_outcome(record.record_id, settled, self.now())

    def plan(self, suggestion):
        plan = self.own.plan_transfer(
            suggestion.shard, suggestion.successor, self.now()
        )
        if isinstance(plan, actions.TransferPlan):
            self.plans[plan.transfer_id] = [plan, self.now() + 2.0, False]
            self.world.send(
                self,
                suggestion.successor.name,
                'on_hand_over',
                plan.transfer_id,
                suggestion.successor,
            )

    def on_hand_over(self, sender, transfer_id):
        taken = self.own.on_state_received(transfer_id, self.now())
        answer = 'on_hand_over_ack' if taken else 'on_hand_over_refused'
        self.world.send(self, sender.name, answer, transfer_id)

    def on_hand_over_refused(self, sender, transfer_id):
        if transfer_id in self.plans:
            self.own.cancel_transfer(self.plans.pop(transfer_id)[0])

    def on_hand_over_ack(self, sender, transfer_id):
        if transfer_id in self.plans:
            self.plans[transfer_id][2] = True

    def hand_over(self):
        for key, (plan, until, confirmed) in list(self.plans.items()):
            sending = any(w.shard == plan.shard for w in self.writes)
            if confirmed and not sending:
                if self.own.commit_transfer(plan, self.now()) is None:
                    del self.plans[key]
                    continue
            if self.now() > until:
                self.own.cancel_transfer(plan)
                del self.plans[key]
        self.todo.extend(self.own.tick(self.now()))

    def act(self):
        """Check the lease, maybe pause, write, and check again."""
        self.writes = [w for w in self.writes if w.arrives > self.world.time]
        for shard in range(SHARDS):
            if self.own.may_act(shard, self.now()):
                self.checked = (shard, self.own.epoch(shard))
                if self.stall('in_send'):
                    return
                self.write()

    def write(self):
        (shard, epoch), self.checked = self.checked, None
        still = self.own.may_act(shard, self.now())
        if self.world.plant.check_after_write:
            if not still or self.own.epoch(shard) != epoch:
                return
        delay = self.world.rng.choice([0.0, 0.1, SETTLE * 0.9])
        write = Write(self.id, shard, epoch, self.world.time + delay)
        self.writes.append(write)
        self.world.writes.append(write)


class World:
    """Hold the hosts, their network, and the oracle's verdict."""

    def __init__(self, seed, plant):
        self.rng = random.Random(seed)
        self.plant = plant
        self.time = 0.0
        self.pause = 1.0
        self.delays = [0.0, 0.1, 0.6]
        self.log = Log()
        self.hosts = []
        self.cuts = set()
        self.writes = []
        self.born = {}
        self.died = {}
        self.due = []
        self._ids = 0

    def next_id(self):
        self._ids += 1
        return self._ids

    def start(self, name):
        rate = 1 + self.rng.choice([-DRIFT, 0, DRIFT]) * 0.99
        host = Host(
            self,
            name,
            f'i{self.next_id()}',
            rate,
            self.rng.uniform(0, 1000),
        )
        self.hosts.append(host)
        self.born[name] = self.time
        self.died.pop(name, None)
        return host

    def crash(self, host):
        self.hosts.remove(host)
        self.died[host.id.name] = self.time

    def listing(self):
        """Return the platform's list as it was a while ago."""
        then = self.time - LIST_LAG
        return [
            platform.EntryHostInfo(name, 'z', name, 1)
            for name, born in sorted(self.born.items())
            if born <= then and self.died.get(name, self.time) >= then
        ]

    def send(self, sender, name, method, message, only=None):
        pair = frozenset((sender.id.name, name))
        if pair in self.cuts:
            return
        for host in self.hosts:
            if host.id.name == name and only in (None, host.id):
                arrives = self.time + self.rng.choice(self.delays)
                handle = getattr(host, method)
                call = functools.partial(handle, sender.id, message)
                host.inbox.append((arrives, call))

    def later(self, host, delay, handle, *args):
        call = functools.partial(handle, *args)
        host.inbox.append((self.time + delay, call))

    def land_later(self, record, delay):
        self.due.append((self.time + delay, self.next_id(), record))

    def advance(self, steps):
        for _ in range(steps):
            self.time += STEP
            self.land()
            for host in self.rng.sample(self.hosts, len(self.hosts)):
                host.step()
                self.land()
                self.check()

    def land(self):
        for item in sorted(self.due):
            if item[0] <= self.time:
                self.due.remove(item)
                self.log.land(item[2], self.time)

    def acting(self, shard):
        return [
            host.id
            for host in self.hosts
            if host.own.may_act(shard, host.now())
        ]

    def check(self):
        for shard in range(SHARDS):
            acting = self.acting(shard)
            assert len(acting) <= 1, f'{acting} act on {shard}'
            for write in self.writes:
                if write.shard == shard and write.arrives > self.time - STEP:
                    other = [h for h in acting if h != write.host]
                    assert not other, f'{write} arrives while {other} act'
        self.writes = [w for w in self.writes if w.arrives > self.time - STEP]

    def heal(self):
        """Mend all faults and check that each shard finds an owner."""
        if not self.plant.check_healed:
            return
        self.cuts.clear()
        for host in self.hosts:
            host.log_mode = 'ok'
            host.list_up = True
            host.pause_at = ''
            host.paused_until = -1.0
        serving = [h for h in self.hosts if not h.own.draining]
        if not serving:
            return
        self.advance(int(40 / STEP))
        for shard in range(SHARDS):
            seen = set()
            for _ in range(20):
                self.advance(1)
                seen.update(self.acting(shard))
            assert seen, f'nobody acts on {shard} though all is well'
