"""Check that optional decisions are read strictly, and are off by default."""

import pytest

from hibiscusslip.dispatch import policy
from hibiscusslip.host import options


def test_all_options_are_off_by_default():
    assert options.read_policy({}) == policy.Policy()
    empty = dict.fromkeys((options.RUN_TIMES_VARIABLE,), '')
    assert options.read_policy(empty) == policy.Policy()


def test_options_are_switched_on_one_by_one():
    learned = options.read_policy({options.RUN_TIMES_VARIABLE: 'learned'})
    assert learned == policy.Policy(learned_run_times=True)
    speeds = options.read_policy({options.SPEEDS_VARIABLE: 'on'})
    assert speeds == policy.Policy(endpoint_speeds=True)


def test_unknown_value_is_an_error_that_names_the_known_ones():
    with pytest.raises(options.OptionInvalid, match='declared or learned'):
        options.read_policy({options.RUN_TIMES_VARIABLE: 'on'})
