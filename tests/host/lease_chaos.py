"""Play random faults of hosts, store and network around one lease.

An endpoint runs a task. A host that owns the cell extends its lease; one that
doesn't reach it must not give the run up before the lease has ended.
"""

import dataclasses

from hibiscusslip.dispatch import model
from hibiscusslip.host import _lease_grants
from hibiscusslip.host import claims
from hibiscusslip.host import topics
from tests.host import succession

HOSTS = ('h1', 'h2', 'h3', 'h4')
MAX_LEASE_S = 6.0
POLL_S = 0.5
VOUCH_PERIOD_S = 0.4
MAX_DELAY_S = 3.0  # of a call that is carried out late
RATES = (0.98, 0.99, 1.0, 1.01, 1.02)
SLOWEST_ENDPOINT = 0.98
TASK = 'j.0.0.0'


@dataclasses.dataclass(eq=False)
class Endpoint:
    """The endpoint that runs the task, on a clock of its own rate."""

    rate: float
    lease_end: float = 0.0  # on its clock
    fence: int = 0
    started: bool = False

    def poll(self, now, fence, deadline):
        """Carry out a poll; return whether it was taken."""
        if fence < self.fence:
            return False
        self.fence = fence
        clock = now * self.rate
        if deadline is not None and (self.at_work(now) or not self.started):
            self.started = True
            limited = min(deadline, clock + MAX_LEASE_S)
            self.lease_end = max(self.lease_end, limited)
        return True

    def at_work(self, now):
        return now * self.rate < self.lease_end


class Host:
    """One host, its faults, and what it does when."""

    def __init__(self, chaos, name):
        self.chaos = chaos
        self.name = name
        self.lives = 0
        self.down_until = self.frozen_until = 0.0
        self.stores_from = self.peers_from = self.reaches_from = 0.0
        self.boot()

    def boot(self):
        """Start a new incarnation, which remembers nothing."""
        rate = self.chaos.rng.choice(RATES)
        self.lives += 1
        self.member = succession.Member(
            self.chaos.world, self.name, rate, f'i{self.lives}'
        )
        self.own = self.member.own
        self.own.tie_break = self.chaos.rng.random()
        self.announced = False
        self.ready_at = self.beats_at = self.polls_at = self.asks_at = 0.0
        self.failures = 0

    @property
    def runs(self):
        now = self.chaos.world.now
        return now >= self.down_until and now >= self.frozen_until

    def served(self):
        return self.chaos.world.now >= self.stores_from

    def hears_peers(self):
        return self.runs and self.chaos.world.now >= self.peers_from

    def step(self):
        """Do what is due."""
        chaos = self.chaos
        chaos.world.turn = self.member
        if self.served() and not self.announced:
            self.member.announce()
            self.announced = True
        if self.served() and chaos.rng.random() < 0.4:
            self.member.read()
        if self.own.held_epoch:
            self._act_as_owner()
        elif self.announced and self.own.may_claim(self.member.clock()):
            self._claim()

    def _claim(self):
        chaos = self.chaos
        if not self.served():
            return
        now = self.member.clock()
        end = self.own.end_offset
        if len(chaos.world.records(topics.OWNER)) != end:
            self.own.begin_claim(now)
            return
        if chaos.rng.random() < 0.2:  # its answer is lost
            bound = self.own.begin_claim(now)
            record = claims.notices.encode(
                claims._compose(self.member.ctx, end + 1, bound, now)
            )
            chaos.write_late(topics.OWNER, record, end)
            return
        succession.complete(claims.claim(self.member.ctx, now))
        self.member.begin()
        self.ready_at = chaos.world.now + chaos.rng.uniform(0.1, 0.6)
        self.failures = 0
        self.member.engine = None

    def _act_as_owner(self):
        now = self.chaos.world.now
        if now >= self.beats_at:
            self.beats_at = now + succession.HEARTBEAT_S
            self._beat()
        if self.member.engine is None and now >= self.ready_at:
            self.chaos.fence = max(self.chaos.fence, self.own.held_epoch)
            self.member.recover()
        if self.member.engine is None:
            return
        self.member.handover.lift_promises()
        if now >= self.asks_at:
            self.asks_at = now + VOUCH_PERIOD_S
            self._ask()
        if now >= self.polls_at:
            self.polls_at = now + POLL_S
            self._poll()
        self.chaos.judge(self)

    def _beat(self):
        record = self.member.compose()
        if not self.served():
            return
        if self.chaos.rng.random() < 0.2:
            self.chaos.write_late(topics.OWNER, record, None)
        else:
            self.chaos.world.store.records.append((topics.OWNER, record))

    def _ask(self):
        """Ask for vouches, and whether the former owner has ended."""
        clock = self.member.clock()
        if not self.hears_peers():
            return
        for host in self.chaos.hosts:
            if host is self or not host.hears_peers():
                continue
            if host.own.vouch(self.own.held_epoch, host.member.clock()):
                self.own.renewal.record_vouch(host.name, clock)
            former = self.own.predecessor
            if former is not None and former.host == host.name:
                if host.own.held_epoch != former.epoch:
                    if self.own.note_former_end(clock):
                        self.chaos.shorten(self)

    def _poll(self):
        chaos = self.chaos
        clock = self.member.clock()
        engine = self.member.engine
        endpoint = engine.endpoints.get(succession.LOST)
        if endpoint is None:
            return
        deadline = _lease_grants.lease_deadline(
            self.member.ctx, engine, endpoint, clock
        )
        if chaos.rng.random() < 0.1:  # carried out late, without an answer
            chaos.poll_late(self.own.held_epoch, deadline)
        if chaos.world.now < self.reaches_from:
            self.failures += 1
            engine.handle_no_response(succession.LOST, clock, clock)
            if self.failures >= 2:
                engine.mark_unresponsive(succession.LOST)
            return
        epoch = self.own.held_epoch
        if not chaos.endpoint.poll(chaos.world.now, epoch, deadline):
            return
        self.failures = 0
        running = model.RunningRun(TASK, 1, '', 50, 0.0)
        at_work = chaos.endpoint.at_work(chaos.world.now)
        listed = (running,) if at_work or not chaos.endpoint.started else ()
        report = model.EndpointReport(
            5.0, chaos.world.now * chaos.endpoint.rate, listed, ()
        )
        engine.handle_report(succession.LOST, report, clock, clock)


class Chaos:
    """A cell with random faults; `broken` says what went wrong, '' if nothing.

    `waits` are how long owners held the run after it had ended.
    """

    def __init__(self, monkeypatch, rng):
        self.rng = rng
        self.world = succession.World(monkeypatch)
        self.endpoint = Endpoint(rng.uniform(SLOWEST_ENDPOINT, 1.02))
        self.late = []
        self.fence = 0  # of the progress, which a former owner can't write
        self.broken = ''
        self.given_up = False
        self.hosts = [Host(self, name) for name in HOSTS]

    def play(self, seconds):
        """Play until the run is given up, or for so many seconds."""
        end = self.world.now + seconds
        calm_until = self.world.now + 4.0
        while self.world.now < end and not self.given_up:
            self.world.now += succession.TICK_S
            if self.world.now > calm_until and self.rng.random() < 0.05:
                self._break_something()
            self._carry_out_late()
            for host in self.rng.sample(self.hosts, len(self.hosts)):
                if host.runs:
                    host.step()

    def _break_something(self):
        until = self.world.now + self.rng.choice((1.0, 3.0, 6.0, 12.0))
        owners = [host for host in self.hosts if host.own.held_epoch]
        host = self.rng.choice(owners or self.hosts)
        if self.rng.random() < 0.3:
            host = self.rng.choice(self.hosts)
        match self.rng.choice(
            (
                'kill',
                'freeze',
                'store',
                'peers',
                'endpoint',
                'store of all',
                'zone',
                'outage',
                'outage',
                'all',
            )
        ):
            case 'kill':
                self._kill(host, until)
            case 'freeze':
                host.frozen_until = until
            case 'store':
                host.stores_from = until
            case 'peers':
                host.peers_from = until
            case 'endpoint':
                for other in self.rng.sample(self.hosts, 3):
                    other.reaches_from = until
            case 'store of all':
                spared = self.rng.choice((None, *self.hosts))
                for other in self.hosts:
                    if other is not spared:
                        other.stores_from = until
            case 'zone':
                host.stores_from = host.peers_from = until
                for other in self.hosts:
                    if other is not host:
                        other.reaches_from = until
            case 'outage':  # each host is served again at another time
                for other in self.hosts:
                    away = self.rng.uniform(0.5, 12.0)
                    other.stores_from = self.world.now + away
                    if other is not host:
                        other.reaches_from = self.world.now + 25.0
                if self.rng.random() < 0.3:
                    self._kill(self.rng.choice(self.hosts), self.world.now + 1)
            case 'all':
                for other in self.hosts:
                    self._kill(other, until)

    def _kill(self, host, until):
        host.boot()
        host.down_until = until

    def write_late(self, topic, record, at):
        """Write a record seconds later, if the topic ends at `at` then."""
        due = self.world.now + self.rng.uniform(0.0, MAX_DELAY_S)
        self.late.append((due, lambda: self._append(topic, record, at)))

    def _append(self, topic, record, at):
        if at is None or len(self.world.records(topic)) == at:
            self.world.store.records.append((topic, record))

    def poll_late(self, fence, deadline):
        """Have the endpoint carry out a poll seconds later."""
        due = self.world.now + self.rng.uniform(0.0, MAX_DELAY_S)
        self.late.append(
            (due, lambda: self.endpoint.poll(self.world.now, fence, deadline))
        )

    def _carry_out_late(self):
        due = [item for item in self.late if item[0] <= self.world.now]
        for item in due:
            self.late.remove(item)
            item[1]()

    def shorten(self, host):
        """Have an owner wait no longer than for leases that have ended."""
        succession.recovery.shorten_waits(host.member.ctx, host.member.engine)

    def judge(self, host):
        """Note whether an owner gives the run up, and whether it may.

        A former one can't write what it has decided.
        """
        if host.own.held_epoch < self.fence:
            return
        endpoint = host.member.engine.endpoints.get(succession.LOST)
        if endpoint is None or endpoint.responsive:
            return
        if not endpoint.leases_expired(host.member.clock()):
            return
        self.given_up = True
        if self.endpoint.at_work(self.world.now):
            left = self.endpoint.lease_end / self.endpoint.rate
            self.broken = (
                f'{host.name} gives up a run that is at work for '
                f'{left - self.world.now:.2f} s: {endpoint.lease_evidence}'
            )
