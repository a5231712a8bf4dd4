"""Check which differences from the configuration in force are shown."""

import hashlib

import pytest

from tests.platform.config_check import drafts


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()[:8]


def compare(old, new):
    """Compare two documents, the new one with the next version."""
    return drafts.compare(old, new | {'Version': 2})


def test_equal_configurations_have_no_difference():
    content = drafts.document(organisations=[drafts.organisation()])
    assert compare(content, content) == []


def test_version_that_does_not_rise_is_an_error():
    (found,) = drafts.compare(drafts.document(), drafts.document())
    assert found.startswith('error: Version: 1 is not above 1')


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({'PathPrefix': '/r/'}, "warning: Routes: callers lose the queue 'q'"),
        ({'Name': 'r'}, "warning: Routes: callers lose the queue 'q'"),
        ({'Public': True}, 'warning: Routes[0].Public: callers need no key'),
        ({'Service': 't'}, "change: Routes[0].Service: from 's' to 't'"),
        ({'Stretch': 2}, 'change: Routes[0].Stretch: raised from 1 to 2'),
        (
            {'TargetLatencyMs': 500},
            'change: Routes[0].TargetLatencyMs: lowered from 1000 to 500',
        ),
        ({'Advice': {}}, 'change: Routes[0].Advice: the advice changes'),
    ],
)
def test_change_of_a_queue_is_shown(changes, expected):
    found = compare(drafts.document(), drafts.document(changes))
    assert [text for text in found if text.startswith(expected)]


def test_call_that_a_shorter_prefix_takes_over_is_no_loss_of_access():
    wide = drafts.document()['Routes'][0] | {'Name': 'w', 'PathPrefix': '/'}
    (found,) = compare(drafts.document(), drafts.document(Routes=[wide]))[:1]
    assert "calls to 'a.example/q/' go to 'w' at once" in found


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ({}, {'Weight': 2}, 'Weight: raised from 1 to 2'),
        ({}, {'AtMost': {'Cpu': 5}}, 'Cpu: lowered from no limit to 5'),
        ({'AtMost': {'Cpu': 5}}, {}, 'Cpu: raised from 5 to no limit'),
        (
            {'AtMost': {'Gpu': 5}},
            {'AtMost': {'Gpu': 4}},
            'Gpu: lowered from 5 to 4',
        ),
    ],
)
def test_change_of_a_limit_is_shown(old, new, expected):
    """An amount of 0 is no limit, which isn't below another."""
    (found,) = compare(
        drafts.document(organisations=[drafts.organisation(**old)]),
        drafts.document(organisations=[drafts.organisation(**new)]),
    )
    assert expected in found


def test_keys_are_shown_by_number_and_digest_only():
    old = drafts.document(organisations=[drafts.organisation()])
    new = drafts.document(
        organisations=[drafts.organisation(keys=[drafts.OTHER_KEY])]
    )
    withdrawn, added = compare(old, new)
    assert f'withdrawn keys (1): {digest(drafts.KEY)};' in withdrawn
    assert f'added keys (1): {digest(drafts.OTHER_KEY)};' in added
    assert drafts.KEY not in withdrawn
    assert drafts.OTHER_KEY not in added


def test_lost_and_new_organisations_are_shown():
    old = drafts.document(organisations=[drafts.organisation('old')])
    new = drafts.document(organisations=[drafts.organisation('new')])
    lost, added = compare(old, new)
    assert lost.startswith("warning: Tenants: the organisation 'old' loses")
    assert added.startswith("change: Tenants[0]: the organisation 'new'")


def test_first_and_last_use_of_organisations_are_warnings():
    without = drafts.document()
    using = drafts.document(organisations=[])
    assert 'gets organisations' in compare(without, using)[0]
    assert 'loses its organisations' in compare(using, without)[0]
