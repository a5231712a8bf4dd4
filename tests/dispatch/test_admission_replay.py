"""Check admission of jobs whose declared run times are off by up to two."""

import functools

import pytest

from hibiscusslip.bench import admission
from hibiscusslip.dispatch import estimates


@functools.cache
def replay(factor, reports_ratios):
    """Return the decisions about new jobs, of one seed."""
    with pytest.MonkeyPatch.context() as patch:
        if not reports_ratios:
            patch.setattr(
                estimates.Estimates, 'reported_ratios', lambda self: {}
            )
        run = admission.AdmissionReplay(1, (factor, factor))
        run.run(admission.NEW_OWNER_AT_S + admission.AFTER_CHANGE_S)
    return run


def test_jobs_that_declare_too_little_arent_rejected():
    """They were, once the wait was half of what was of use."""
    before, after = replay(0.5, False), replay(0.5, True)
    assert before.before_change.wrongly_rejected > 40
    assert after.before_change.wrongly_rejected < 20
    assert (
        after.after_change.wrongly_rejected
        < before.after_change.wrongly_rejected
    )


def test_jobs_that_declare_too_much_arent_accepted_for_no_use():
    before, after = replay(2.0, False), replay(2.0, True)
    assert before.before_change.wrongly_accepted > 80
    assert after.before_change.wrongly_accepted < 40
    assert (
        after.after_change.wrongly_accepted
        < before.after_change.wrongly_accepted
    )
