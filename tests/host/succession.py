"""Play changes of the owner in virtual time, without a network."""

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import second_runs
from hibiscusslip.dispatch import state
from hibiscusslip.host import claims
from hibiscusslip.host import context
from hibiscusslip.host import feeds
from hibiscusslip.host import lease_handover
from hibiscusslip.host import notices
from hibiscusslip.host import ownership_keeper
from hibiscusslip.host import recovery
from hibiscusslip.host import topics
from hibiscusslip.platform import store
from tests.dispatch import support
from tests.host import fakes

TICK_S = 0.05
HEARTBEAT_S = 0.4
LEASE_S = 5.9
RECOVERY_S = 0.3  # from a claim until the records are applied
LOST = 'lost'  # the endpoint that runs the task
LOST_TOO = 'lost too'  # that of a second run


def complete(coroutine):
    """Run a coroutine that never waits; return its result."""
    try:
        coroutine.send(None)
    except StopIteration as exc:
        return exc.value
    raise AssertionError('the coroutine waits')


class NoPeers(ownership_keeper.Successors):
    """Reach no other host."""

    async def find_hosts_with_store(self):
        return []

    async def write_release(self, notice, hosts):
        return False

    async def check_liveness(self):
        return ownership_keeper.LivenessCheck([], [])


class Member:
    """A host of the cell, with a steady clock of its own rate."""

    def __init__(self, world, name, rate=1.0, incarnation='i1'):
        self.world = world
        self.rate = rate
        world.turn = self
        self.ctx = fakes.make_context(world.store, name)
        self.own = self.ctx.ownership
        self.ctx.incarnation = self.own.incarnation = incarnation
        self.hosts = feeds.HostFeed(self.ctx)
        self.owners = feeds.OwnerFeed(self.ctx)
        self._read = {topics.HOSTS: 0, topics.OWNER: 0}
        self.engine = None
        self.handover = None
        self.keeper = None

    def announce(self):
        """Write the host into the list of hosts."""
        name = self.ctx.cfg.name
        record = notices.HostRecord(
            name, self.ctx.incarnation, 'z1', '10.0.0.1', 1
        )
        value = store.encode_keyed(name, notices.encode(record))
        self.world.store.records.append((topics.HOSTS, value))

    def clock(self):
        return self.world.now * self.rate

    def read(self):
        """Read the lists of hosts and of owners to their ends."""
        self.world.turn = self
        for feed in (self.hosts, self.owners):
            found = self.world.records(feed.topic)
            for offset in range(self._read[feed.topic], len(found)):
                complete(feed.apply(offset, found[offset]))
            self._read[feed.topic] = len(found)
        end = self._read[topics.OWNER]
        self.own.record_read(end, self.clock())

    def claim(self):
        """Become the owner; the claim has been written."""
        self.world.turn = self
        assert complete(claims.claim(self.ctx, self.clock()))
        self.begin()

    def begin(self):
        """Begin as the owner, once the claim is known to be written."""
        epoch = self.own.held_epoch
        self.handover = lease_handover.LeaseHandover(self.own, epoch)
        self.keeper = ownership_keeper.OwnershipKeeper(
            self.ctx, NoPeers(), epoch, self.handover, dict, None
        )

    def recover(self):
        """Apply the records, of which one names a run on `LOST`."""
        self.world.turn = self
        self.engine = engines.Engine(LEASE_S)
        add_job(self.engine, self.clock(), **self.world.fields)
        complete(
            recovery.restore_all(
                self.ctx,
                self.engine,
                {'j': self.world.progress},
                self.clock(),
            )
        )
        self.handover.set_engine(self.engine)

    def poll(self):
        """Get an answer of `LOST`, whose clock is right."""
        self.world.turn = self
        endpoint = self.engine.endpoints[LOST]
        endpoint.polled = endpoint.responsive = True
        endpoint.clock = endpoint.clock_read_at = self.clock()

    def compose(self, kind=notices.HEARTBEAT, releases=False):
        """Return the owner's next notice as it is written."""
        self.world.turn = self
        return notices.encode(self.keeper._notice(kind, releases))

    def beat(self):
        """Write a heartbeat."""
        self.world.store.records.append((topics.OWNER, self.compose()))

    def gives_up(self):
        """Return True once the run on `LOST` may be started elsewhere."""
        return self.engine.endpoints[LOST].leases_expired(self.clock())


class World:
    """A store and the time, which each host reads from its own clock."""

    def __init__(self, monkeypatch, **fields):
        self.now = 1000.0
        self.fields = fields  # of the job's step
        self.store = fakes.FakeStore()
        self.turn = None
        self.progress = progress(**fields)
        monkeypatch.setattr(context, 'monotonic', lambda: self.turn.clock())

    def records(self, topic):
        return [record for name, record in self.store.records if name == topic]

    def wait_for_claim(self, member):
        """Let a host read until it claims, and recover."""
        while True:
            self.now += TICK_S
            member.read()
            if member.own.may_claim(member.clock()):
                break
        member.claim()
        member.read()
        self.now += RECOVERY_S
        member.recover()

    def wait_for_restart(self, owner, limit=30.0):
        """Return after how many seconds the owner gives up the run."""
        began = self.now
        while not owner.gives_up() and self.now < began + limit:
            self.now += TICK_S
        return self.now - began


def add_job(engine, now, **fields):
    """Submit a job, by default of the lasting task that runs on `LOST`."""
    step = support.step(**fields or {'long_running': True})
    spec = model.JobSpec('payload', (step,))
    job = state.Job('j', 'small', support.SERVICE, spec, now)
    engine.jobs['j'] = job
    engine.create_occurrence(job, 0, now)
    return job


def progress(**fields):
    """Return the record of the job while its tasks run on `LOST`.

    A speculative one has a second run on `LOST_TOO`.
    """
    engine = engines.Engine(LEASE_S)
    job = add_job(engine, 0.0, **fields)
    (step,) = job.occurrences[0]
    for task in step.tasks:
        task.status = state.Status.RUNNING
        task.run = 1
        task.endpoint = LOST
        task.address = '10.0.0.9:1'
        task.born = 5.0
        if step.spec.speculative:
            task.second = second_runs.SecondRun(
                2, LOST_TOO, '10.0.0.8:1', 5.0, confirmed=True
            )
    return records.encode_job(job, now=0.0)
