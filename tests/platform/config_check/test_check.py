"""Check which faults are found in a configuration, and where."""

import json

import pytest

from hibiscusslip.platform import documents
from hibiscusslip.platform import placed_configuration
from tests.platform.config_check import drafts


def queue(**fields):
    return drafts.document()['Routes'][0] | fields


def test_configuration_without_faults_has_no_findings():
    assert drafts.check(drafts.document()) == []
    unlimited = drafts.organisation(AtMost={'Cpu': 1, 'MemMb': 0})
    assert drafts.check(drafts.document(organisations=[unlimited])) == []


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({'Service': 'x'}, 'Service'),
        ({'Host': 'a.example:80'}, 'Host'),
        ({'PathPrefix': 'q/'}, 'PathPrefix'),
        ({'TargetLatencyMs': -1}, 'TargetLatencyMs'),
        ({'Priority': -1}, 'Priority'),
        ({'Priority': 2**63}, 'Priority'),
        ({'MaxAttempts': 0}, 'MaxAttempts'),
        ({'Stretch': 0.9}, 'Stretch'),
        ({'TimeoutMs': 999}, 'TimeoutMs'),
        ({'TimeoutMs': 'soon'}, 'TimeoutMs'),
        ({'Advice': {'DecisionMs': -1}}, 'Advice.DecisionMs'),
        ({'Advice': {'PeriodMs': -1}}, 'Advice.PeriodMs'),
        ({'Advice': {'ValidMs': -1}}, 'Advice.ValidMs'),
        ({'Advice': {'DecisionMs': 1001}}, 'TargetLatencyMs'),
    ],
)
def test_fault_of_a_queue_is_an_error_at_its_place(changes, expected):
    found = drafts.check(drafts.document(changes))
    assert ('error', f'Routes[0].{expected}') in found
    assert {place for severity, place in found if severity == 'error'} == {
        f'Routes[0].{expected}'
    }


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({'Weight': -2}, 'Weight'),
        ({'Weight': 0}, 'Weight'),
        ({'AtMost': {'Cpu': -1}}, 'AtMost.Cpu'),
        ({'AtMost': {'MemMb': -1}}, 'AtMost.MemMb'),
        ({'AtMost': {'Gpu': -1}}, 'AtMost.Gpu'),
        ({'ApiKeys': []}, 'ApiKeys'),
        ({'ApiKeys': ['']}, 'ApiKeys'),
        ({'ApiKeys': ['x', drafts.OTHER_KEY]}, 'ApiKeys[1]'),
    ],
)
def test_fault_of_an_organisation_is_an_error_at_its_place(changes, expected):
    entries = [
        drafts.organisation('first', [drafts.OTHER_KEY]),
        drafts.organisation() | changes,
    ]
    found = drafts.check(drafts.document(organisations=entries))
    assert found == [('error', f'Tenants[1].{expected}')]


def test_weights_that_are_all_zero_are_also_an_error_of_the_list():
    entries = [drafts.organisation(Weight=0)]
    assert drafts.check(drafts.document(organisations=entries)) == [
        ('error', 'Tenants[0].Weight'),
        ('error', 'Tenants'),
    ]


def test_organisation_needs_no_key_if_a_queue_is_public():
    content = drafts.document({'Public': True}, [drafts.organisation(keys=[])])
    assert drafts.check(content) == []


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({'Version': 0}, 'Version'),
        ({'Limits': {'MaxBodyBytes': -1}}, 'Limits.MaxBodyBytes'),
        ({'Services': [{'Name': 's'}] * 2}, 'Services[1].Name'),
        ({'Routes': [queue(), queue(PathPrefix='/')]}, 'Routes[1].Name'),
        ({'Routes': [queue(), queue(Name='r')]}, 'Routes[1]'),
        (
            {'Tenants': [drafts.organisation(), drafts.organisation()]},
            'Tenants[1].Name',
        ),
    ],
)
def test_fault_of_the_document_is_an_error_at_its_place(fields, expected):
    assert drafts.check(drafts.document(**fields)) == [('error', expected)]


def test_unused_service_is_a_warning():
    content = drafts.document(Services=[{'Name': 's'}, {'Name': 'idle'}])
    assert drafts.check(content) == [('warning', 'Services[1]')]


@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        (b'', ['document']),
        (b'{', ['document']),
        (b'[1]', ['document']),
        (b'{"X":' + b'[' * 100_000, ['document']),
        (
            b'{"Version":"a","Version":1,"Routes":[],"Services":[]}',
            ['Version'],
        ),
        (b'{"Version":"a"}', ['Version', 'Routes', 'Services']),
    ],
)
def test_document_that_hosts_refuse_has_errors(value, expected):
    found = placed_configuration.read(value)
    assert drafts.places(found) == [('error', place) for place in expected]


def test_each_part_that_hosts_refuse_is_reported():
    """The decoder itself stops at the first one."""
    content = drafts.document(
        {'Service': 1, 'Advice': {'DecisionMs': 'x'}},
        [drafts.organisation(keys=[drafts.KEY, 7]), None],
        Services=[{}],
    )
    found = placed_configuration.read(json.dumps(content).encode())
    assert drafts.places(found) == [
        ('error', 'Routes[0].Service'),
        ('error', 'Routes[0].Advice.DecisionMs'),
        ('error', 'Services[0].Name'),
        ('error', 'Tenants[0].ApiKeys[1]'),
        ('error', 'Tenants[1]'),
    ]


def test_name_of_an_ignored_field_may_be_any_bytes():
    """Hosts accept it; the check raised a DecodeError."""
    value = json.dumps(drafts.document()).encode()
    odd = value.replace(b'{"Name"', b'{"\xff": 1, "Name"')
    assert documents.read_configuration(odd) is not None
    (queue_entry,) = placed_configuration.read(odd).queues
    assert queue_entry.timeout == 3.0


def test_timeout_of_null_is_none():
    content = drafts.document({'TimeoutMs': None})
    assert drafts.read(content).queues[0].timeout is None
