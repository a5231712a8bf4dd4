"""Check that speeds are learned apart from the length of the work."""

import random

from hibiscusslip.dispatch import speeds

SERVICE = 's'


class Pool:
    """Endpoints of known speeds whose runs vary in length."""

    def __init__(self, factors, kind='k'):
        self.model = speeds.Speeds()
        self.factors = factors
        self.kind = kind
        self.now = 0.0
        self.rng = random.Random(1)

    def run(self, rounds=1, length=1.0):
        for _ in range(rounds):
            self.now += speeds.REFRESH_PERIOD_S
            for name, factor in self.factors.items():
                ratio = length * self.rng.uniform(0.7, 1.3) / factor
                self.learn(name, ratio)
        self.model.refresh(self.now)

    def learn(self, name, ratio):
        step = str(self.rng.random())
        self.model.learn(name, SERVICE, self.kind, ratio, step, self.now)

    def speed(self, name, kind=None):
        return self.model.speed(name, SERVICE, kind or self.kind)


def uneven():
    factors = {f'e{number}': 1.0 for number in range(10)}
    factors |= {f'slow{number}': 0.5 for number in range(4)}
    return factors


def test_speed_is_relative_to_the_pool():
    pool = Pool(uneven())
    pool.run(24)
    assert 0.85 < pool.speed('e0').factor < 1.15
    assert 0.42 < pool.speed('slow0').factor < 0.6


def test_work_that_takes_longer_everywhere_changes_no_speed():
    pool = Pool(uneven())
    pool.run(24, length=6.0)
    assert 0.85 < pool.speed('e0').factor < 1.15
    assert pool.speed('e0').plausible


def test_few_runs_are_relied_on_little():
    pool = Pool(uneven())
    pool.run(1)
    assert pool.speed('slow0').confidence < 0.2
    assert pool.speed('slow0').factor > 0.7


def test_unknown_endpoint_has_the_speed_of_its_kind():
    pool = Pool({f'e{number}': 1.0 for number in range(8)}, 'new')
    pool.run(12)
    pool.kind = 'old'
    pool.factors = {f'slow{number}': 0.5 for number in range(4)}
    pool.run(12)
    assert 0.45 < pool.speed('unseen', 'old').factor < 0.75
    assert pool.speed('unseen', 'other') is speeds.UNKNOWN


def test_slow_spell_passes():
    pool = Pool({f'e{number}': 1.0 for number in range(10)})
    pool.run(24)
    pool.factors['e0'] = 0.4
    pool.run(24)
    assert pool.speed('e0').factor < 0.55
    pool.factors['e0'] = 1.0
    pool.run(24)
    assert pool.speed('e0').factor > 0.85


def test_slow_spell_fades_on_an_endpoint_that_gets_no_runs():
    pool = Pool({f'e{number}': 1.0 for number in range(10)})
    pool.factors['e0'] = 0.4
    pool.run(24)
    del pool.factors['e0']
    pool.run(300)
    assert pool.speed('e0').factor > 0.8


def test_endpoint_that_reports_false_ends_isnt_taken_for_fast():
    """It has by far the most runs, as its tasks end at once."""
    pool = Pool({f'e{number}': 1.0 for number in range(6)})
    for _ in range(24):
        pool.run()
        for _ in range(40):
            pool.learn('false', 0.02)
    pool.run()
    assert pool.speed('false') == speeds.Speed(1.0, 0.0, False)
    assert 0.85 < pool.speed('e0').factor < 1.15


def test_endpoint_with_some_false_ends_isnt_plausible():
    pool = Pool({f'e{number}': 1.0 for number in range(6)})
    for number in range(24):
        pool.run()
        pool.learn('false', 0.02 if number % 3 == 0 else 1.0)
    pool.run()
    assert not pool.speed('false').plausible


def test_very_slow_endpoint_is_slow_but_its_runs_tell_no_length():
    pool = Pool({f'e{number}': 1.0 for number in range(6)} | {'bad': 0.1})
    pool.run(24)
    assert pool.speed('bad').factor < 0.4
    assert not pool.speed('bad').plausible


def test_runs_of_one_step_count_as_few():
    pool = Pool({f'e{number}': 1.0 for number in range(6)})
    pool.run(24)
    for _ in range(24):
        pool.model.learn('e0', SERVICE, 'k', 6.0, 'one step', pool.now)
    pool.run()
    assert pool.speed('e0').factor > 0.8


def test_number_of_endpoints_is_bounded():
    model = speeds.Speeds()
    for number in range(speeds.MAX_ENDPOINTS + 100):
        model.learn(f'e{number}', SERVICE, 'k', 1.0, 's', 0.0)
    assert len(model) == speeds.MAX_ENDPOINTS
