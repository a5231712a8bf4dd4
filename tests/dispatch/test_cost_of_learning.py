"""Check that the memory of learning is bounded, by the benchmark of its cost.

Its speed isn't checked, as that depends on the machine.
"""

from hibiscusslip.bench import learning
from hibiscusslip.dispatch import run_times

ENDPOINTS = 100


def test_memory_doesnt_grow_with_organisations_or_time():
    """Every organisation has a group for each image and declared time."""
    few, many, long = (
        learning.measure(1, ENDPOINTS, organisations, 450.0, seconds)
        for organisations, seconds in ((20, 6.0), (260, 6.0), (260, 12.0))
    )
    assert (few.ends, long.ends) == (2700, 5400)
    for cost in (few, many, long):
        assert cost.groups == run_times.MAX_GROUPS
        assert 0 < cost.memory < 4e6
    assert long.memory < 1.2 * many.memory
