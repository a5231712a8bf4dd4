"""Check that optional decisions are read strictly, and where they are made."""

import dataclasses

import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy
from hibiscusslip.host import options

WITHOUT = model.Configuration(1, {}, {})
WITH = dataclasses.replace(WITHOUT, organisations={})


def policy_under(config, **environ):
    return options.read_options(environ).policy_under(config)


@pytest.mark.parametrize('config', [None, WITHOUT])
def test_without_organisations_all_options_are_off_by_default(config):
    """Guards against other decisions in deployments that asked for none."""
    assert policy_under(config) == policy.Policy()
    empty = {options.RUN_TIMES_VARIABLE: ''}
    assert policy_under(config, **empty) == policy.Policy()


def test_organisations_have_run_times_and_speeds_learned():
    expected = policy.Policy(
        learned_run_times=True, endpoint_speeds=True, urgent_preemption=True
    )
    assert policy_under(WITH) == expected
    off = {
        options.RUN_TIMES_VARIABLE: 'declared',
        options.SPEEDS_VARIABLE: 'off',
        options.PREEMPTION_VARIABLE: 'off',
    }
    assert policy_under(WITH, **off) == policy.Policy()


def test_options_are_switched_on_one_by_one():
    learned = {options.RUN_TIMES_VARIABLE: 'learned'}
    assert policy_under(WITHOUT, **learned) == policy.Policy(
        learned_run_times=True
    )
    speeds = {options.SPEEDS_VARIABLE: 'on'}
    assert policy_under(WITHOUT, **speeds) == policy.Policy(
        endpoint_speeds=True
    )
    copies = {options.COPIES_VARIABLE: 'on'}
    assert policy_under(WITHOUT, **copies) == policy.Policy(copies=True)
    preemption = {options.PREEMPTION_VARIABLE: 'on'}
    assert policy_under(WITHOUT, **preemption) == policy.Policy(
        urgent_preemption=True
    )


def test_unknown_value_is_an_error_that_names_the_known_ones():
    known = 'declared, organisations, learned'
    with pytest.raises(options.OptionInvalid, match=known):
        options.read_options({options.RUN_TIMES_VARIABLE: 'on'})
