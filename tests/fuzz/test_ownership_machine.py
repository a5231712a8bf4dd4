"""Fuzz ownership: no two hosts act on a shard at the same time."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.fuzz import world

SEED = os.environ.get('HIBISCUSSLIP_FUZZ_SEED')
NAMES = ['a', 'b', 'c', 'd']
MODES = [
    'ok',
    'cut',
    'never',
    'lost',
    'late',
    'slow',
    'blind',
    'hang',
    'laggy',
]
STEPS = strategies.sampled_from([0, 1, 4, 16, 30])
EXAMPLES = int(os.environ.get('HIBISCUSSLIP_FUZZ_EXAMPLES', '1000'))
PAUSES = ['before_actions', 'in_append', 'in_send']
ALL = len(NAMES)


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Drive a zone through faults; the world checks each step."""

    faults = world.InjectedFaults()

    @stateful.initialize(
        seed=strategies.integers(0, 2**32), hosts=strategies.integers(1, 3)
    )
    def begin(self, seed, hosts):
        self.world = world.World(seed, self.faults)
        for name in NAMES[:hosts]:
            self.world.start(name)
        self.world.advance(12)

    def pick(self, index):
        hosts = self.world.hosts
        return hosts[index % len(hosts)] if hosts else None

    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        listed=strategies.sampled_from([True, True, False]),
        steps=STEPS,
    )
    def start(self, name, listed, steps):
        running = {host.id.name for host in self.world.hosts}
        if name not in running:
            self.world.start(name).list_up = listed
        self.world.advance(steps)

    @stateful.rule(name=strategies.sampled_from(NAMES), steps=STEPS)
    def join_cut_off(self, name, steps):
        self.isolate(name)
        running = {host.id.name for host in self.world.hosts}
        if name not in running:
            self.world.start(name)
        self.world.advance(steps)

    @stateful.rule(index=strategies.integers(0, 3), steps=STEPS)
    def crash(self, index, steps):
        host = self.pick(index)
        if host is not None:
            self.world.crash(host)
        self.world.advance(steps)

    @stateful.rule(index=strategies.integers(0, 3), steps=STEPS)
    def restart(self, index, steps):
        host = self.pick(index)
        if host is not None:
            self.world.crash(host)
            self.world.start(host.id.name)
        self.world.advance(steps)

    @stateful.rule(
        index=strategies.integers(0, ALL),
        mode=strategies.sampled_from(MODES),
        steps=STEPS,
    )
    def set_log(self, index, mode, steps):
        chosen = self.world.hosts if index == ALL else [self.pick(index)]
        for host in chosen:
            if host is not None:
                host.log_mode = mode
        self.world.advance(steps)

    @stateful.rule(index=strategies.integers(0, 3), steps=STEPS)
    def cut_off(self, index, steps):
        host = self.pick(index)
        if host is not None:
            host.log_mode = 'cut'
            self.isolate(host.id.name)
        self.world.advance(steps)

    @stateful.rule(
        one=strategies.sampled_from(NAMES),
        two=strategies.sampled_from(NAMES),
        steps=STEPS,
    )
    def cut(self, one, two, steps):
        if one != two:
            self.world.partitions ^= {frozenset((one, two))}
        self.world.advance(steps)

    def isolate(self, name):
        self.world.partitions |= {
            frozenset((name, other)) for other in NAMES if other != name
        }

    @stateful.rule(steps=STEPS)
    def reconnect(self, steps):
        self.world.partitions.clear()
        self.world.advance(steps)

    @stateful.rule(
        index=strategies.integers(0, 3),
        point=strategies.sampled_from(PAUSES),
        pause=strategies.sampled_from([0.5, 3.0, 6.0, 12.0]),
        steps=STEPS,
    )
    def pause(self, index, point, pause, steps):
        host = self.pick(index)
        if host is not None:
            host.pause_at = point
            self.world.pause = pause
        self.world.advance(steps)

    @stateful.rule(index=strategies.integers(0, 3), steps=STEPS)
    def drain(self, index, steps):
        host = self.pick(index)
        if host is not None:
            host.ownership.drain(host.now())
        self.world.advance(steps)

    @stateful.rule(index=strategies.integers(0, 3), steps=STEPS)
    def toggle_list(self, index, steps):
        host = self.pick(index)
        if host is not None:
            host.list_up = not host.list_up
        self.world.advance(steps)

    @stateful.rule(steps=STEPS)
    def trim(self, steps):
        self.world.log.trim(self.world.time)
        self.world.advance(steps)

    def teardown(self):
        if hasattr(self, 'world'):
            self.world.heal()


def settings():
    """Return fixed settings for CI, or longer ones with a seed."""
    return hypothesis.settings(
        max_examples=60 if SEED is None else EXAMPLES,
        stateful_step_count=20,
        derandomize=SEED is None,
        database=None,
        deadline=None,
        print_blob=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def test_no_two_hosts_act_on_a_shard():
    machine = OwnershipMachine
    if SEED is not None:
        machine = hypothesis.seed(int(SEED))(machine)
    stateful.run_state_machine_as_test(machine, settings=settings())
