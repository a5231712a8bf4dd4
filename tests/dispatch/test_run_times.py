"""Check that learned run times survive false, late and changing data."""

import random
import tracemalloc

import pytest

from hibiscusslip.dispatch import run_times

DAY_S = 86_400.0


def work(declared=1.0, queue='q', image='', organisation=''):
    return run_times.Work(queue, image, organisation, declared)


class Learner:
    """Learn runs, each of another job, a tenth of a second apart."""

    def __init__(self):
        self.model = run_times.RunTimes()
        self.now = 0.0
        self.jobs = 0

    def learn(self, item, *times, **fields):
        for actual in times:
            self.now += 0.1
            self.jobs += 1
            self.model.learn(item, actual, str(self.jobs), self.now, **fields)

    def median(self, item):
        return item.base * self.model.expect(item).median

    def high(self, item):
        return item.base * self.model.expect(item).high


def test_without_runs_the_declared_time_is_expected():
    expected = run_times.RunTimes().expect(work(3.0))
    assert (expected.median, expected.runs) == (1.0, 0)
    assert expected.source == 'declared'


def test_median_ignores_a_heavy_tail_and_the_high_quantile_shows_it():
    learner = Learner()
    rng = random.Random(1)
    for _ in range(400):
        factor = 7.0 if rng.random() < 0.08 else 1.0
        learner.learn(work(), factor * rng.uniform(1.8, 2.2))
    assert 1.8 <= learner.median(work()) <= 2.2
    assert learner.high(work()) > 6.0


def test_wrong_declarations_are_corrected_by_declared_time():
    """Jobs of 2 s declare 1 s to 4 s, so that the ratio alone says little."""
    learner = Learner()
    rng = random.Random(1)
    for _ in range(600):
        learner.learn(work(2.0 * 2.0 ** rng.uniform(-1.0, 1.0)), 2.0)
    for declared in (1.0, 2.0, 3.9):
        assert 1.6 <= learner.median(work(declared)) <= 2.4, declared


def test_jobs_that_suddenly_take_6_times_as_long_are_followed():
    learner = Learner()
    learner.learn(work(), *[1.0] * 200)
    learner.learn(work(), *[6.0] * 12)
    assert learner.median(work()) > 4.0


def test_many_tasks_of_one_long_job_are_no_change():
    learner = Learner()
    learner.learn(work(), *[1.0] * 200)
    for _ in range(12):
        learner.model.learn(work(), 6.0, 'one job', learner.now)
    assert learner.median(work()) < 1.5


def test_lying_organisation_changes_only_its_own_expectations():
    learner = Learner()
    for _ in range(60):
        learner.learn(work(organisation='honest'), 1.0, 1.0)
        learner.learn(work(organisation='lying'), 5.0)
    assert learner.median(work(organisation='honest')) < 1.3
    assert learner.median(work(organisation='lying')) > 3.0
    assert learner.median(work(organisation='new')) < 2.0


def test_nonsensical_declarations_dont_change_those_of_others():
    learner = Learner()
    rng = random.Random(1)
    for _ in range(300):
        learner.learn(work(2.0), 2.0)
        learner.learn(work(rng.choice((0.0, 1e6))), 2.0)
    assert 1.6 <= learner.median(work(2.0)) <= 2.5
    assert learner.median(work(1e6)) < 60.0


def test_new_version_of_an_image_starts_from_its_queue_and_is_learned():
    learner = Learner()
    learner.learn(work(image='v1'), *[2.0] * 100)
    assert 1.6 <= learner.median(work(image='v2')) <= 2.2
    learner.learn(work(image='v2'), *[8.0] * 20)
    assert learner.median(work(image='v2')) > 6.0
    assert learner.median(work(image='v1')) < 3.0


def test_few_runs_are_relied_on_little():
    learner = Learner()
    learner.learn(work(), 4.0)
    assert 1.0 < learner.median(work()) < 2.0
    assert learner.model.expect(work()).source == 'declared'
    learner.learn(work(), *[4.0] * 60)
    assert 3.6 < learner.median(work()) < 4.4
    assert learner.model.expect(work()).source == 'declared time'


def test_many_tasks_of_the_first_job_are_relied_on_little():
    learner = Learner()
    for _ in range(25):
        learner.model.learn(work(), 6.0, 'one job', 1.0)
    assert learner.median(work()) < 4.0


def test_stopped_runs_dont_shorten_what_is_expected():
    learner = Learner()
    for _ in range(50):
        learner.learn(work(), 4.0)
        learner.learn(work(), 0.5, 1.0, weight=0.5, at_least=True)
    assert 3.5 < learner.median(work()) < 4.6


def test_runs_that_go_on_lengthen_what_is_expected_before_any_ends():
    learner = Learner()
    learner.learn(work(), *[1.0] * 40)
    learner.learn(work(), *[3.0] * 30, weight=0.5, at_least=True)
    assert learner.median(work()) > 1.8


def test_impossible_durations_are_ignored():
    learner = Learner()
    learner.learn(work(), 0.0, -1.0, float('inf'), float('nan'))
    assert len(learner.model) == 0


@pytest.mark.parametrize('seed', range(5))
def test_only_declarations_off_by_the_same_factor_have_a_queue_ratio(seed):
    """Else hosts reject more jobs of a queue that declares at random."""
    learner = Learner()
    rng = random.Random(seed)
    for _ in range(100):
        chance = 2.0 ** rng.uniform(-1.0, 1.0)
        learner.learn(work(2.0 * chance, 'by chance'), 2.0)
        learner.learn(work(1.0, 'same factor'), 2.0 * rng.uniform(0.9, 1.1))
    ratios = learner.model.queue_ratios(8.0)
    assert ratios == {'same factor': pytest.approx(2.0, rel=0.1)}


def test_shift_of_a_group_is_told_once():
    learner = Learner()
    learner.learn(work(), *[1.0] * 40)
    assert learner.model.take_shifts() == []
    learner.learn(work(), *[6.0] * 60)
    groups = [shift.group for shift in learner.model.take_shifts()]
    assert 'queue/q' in groups
    learner.learn(work(), *[6.0] * 60)
    assert learner.model.take_shifts() == []


def test_memory_stays_bounded_with_any_number_of_groups():
    learner = Learner()
    tracemalloc.start()
    for number in range(20_000):
        learner.learn(work(image=f'image {number}'), 1.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(learner.model) <= run_times.MAX_GROUPS
    assert size < 4 * 1024 * 1024


def test_groups_that_are_used_outlast_the_others():
    learner = Learner()
    learner.learn(work(queue='kept'), *[3.0] * 40)
    for number in range(5_000):
        learner.learn(work(queue=f'queue {number}'), 1.0)
        learner.model.expect(work(queue='kept'))
    assert learner.median(work(queue='kept')) > 2.5


def test_old_groups_are_evicted():
    learner = Learner()
    learner.learn(work(queue='old'), 1.0)
    learner.now += DAY_S
    learner.learn(work(queue='new'), 1.0)
    assert learner.model.expect(work(queue='old')).median == 1.0
    assert len(learner.model) == 2
