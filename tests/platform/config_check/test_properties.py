"""Check generated configurations: nothing raises, no key is shown."""

import hypothesis
from hypothesis import strategies
import msgspec

from hibiscusslip import config_check
from hibiscusslip.platform import documents
from hibiscusslip.platform import placed_configuration
from tests.platform.config_check import drafts

few_examples = hypothesis.settings(
    max_examples=100, deadline=None, derandomize=True, database=None
)
KEYS = [f'key-{number}-0123456789' for number in range(4)]
# Few names, so that entries clash and refer to each other.
names = strategies.sampled_from(['', 'a', 'b', 'c\n', 'é' * 100])
numbers = strategies.sampled_from(
    [0, 1, -1, 2, 0.5, 1000, 5e-324, 1e308, 2**63, -(10**400), 10**400, 'x']
)
flags = strategies.booleans()


def some_of(required, **optional):
    """Return a strategy for objects with any of the optional fields."""
    return strategies.fixed_dictionaries(required, optional=optional)


resources = some_of({}, Cpu=numbers, MemMb=numbers, Gpu=numbers)
advice = some_of({}, DecisionMs=numbers, PeriodMs=numbers, ValidMs=numbers)
routes = some_of(
    {
        'Name': names,
        'Host': strategies.sampled_from(['', 'h', 'h:80']),
        'PathPrefix': strategies.sampled_from(['', '/', '/a', 'a']),
        'Service': names,
    },
    TargetLatencyMs=numbers,
    TimeoutMs=numbers,
    Priority=numbers,
    MaxAttempts=numbers,
    Stretch=numbers,
    Advice=strategies.none() | advice,
    Public=flags,
)
organisations = some_of(
    {'Name': names},
    ApiKeys=strategies.lists(strategies.sampled_from(KEYS), max_size=3),
    Weight=numbers | strategies.sampled_from(KEYS),
    AtMost=strategies.none() | resources | strategies.sampled_from(KEYS),
)
configurations = some_of(
    {
        'Version': strategies.integers(-1, 3) | numbers,
        'Routes': strategies.lists(routes, max_size=3),
        'Services': strategies.lists(some_of({'Name': names}), max_size=3),
    },
    Limits=some_of({}, MaxBodyBytes=numbers),
    Tenants=strategies.none() | strategies.lists(organisations, max_size=3),
)
valid_numbers = strategies.integers(1, 5)
valid_configurations = strategies.builds(
    lambda version, latency, keys, weight, limit, public: drafts.document(
        {'TargetLatencyMs': latency, 'Public': public},
        [drafts.organisation(keys=keys, Weight=weight, AtMost={'Cpu': limit})],
        Version=version,
    ),
    valid_numbers,
    valid_numbers,
    strategies.lists(strategies.sampled_from(KEYS), max_size=3),
    valid_numbers,
    strategies.integers(0, 3),
    flags,
)


def find(value, base=None):
    """Return all findings in bytes, compared with a draft if it is given."""
    draft = placed_configuration.read(value)
    if isinstance(draft, list):
        return draft
    found = config_check.check(draft)
    return found + config_check.compare(base or draft, draft)


def has_errors(findings):
    return any(item.severity == 'error' for item in findings)


@few_examples
@hypothesis.given(strategies.binary(max_size=50))
def test_any_bytes_have_findings_and_raise_nothing(value):
    assert has_errors(find(value))


@few_examples
@hypothesis.given(configurations)
def test_document_that_hosts_refuse_has_an_error(content):
    """Otherwise an operator publishes what no host takes."""
    value = msgspec.json.encode(content)
    accepted = documents.read_configuration(value) is not None
    found = placed_configuration.read(value)
    assert not accepted or isinstance(found, config_check.Draft)
    assert accepted or has_errors(find(value))


@few_examples
@hypothesis.given(configurations, valid_configurations)
def test_no_key_is_in_a_finding(content, in_force):
    value = msgspec.json.encode(content)
    text = '\n'.join(map(str, find(value, drafts.read(in_force))))
    assert not [key for key in KEYS if key in text]


@few_examples
@hypothesis.given(valid_configurations, valid_configurations)
def test_no_key_is_in_a_difference(old, new):
    text = '\n'.join(drafts.compare(old, new))
    assert not [key for key in KEYS if key in text]


@few_examples
@hypothesis.given(valid_configurations)
def test_configuration_does_not_differ_from_itself(content):
    draft = drafts.read(content)
    found = config_check.compare(draft, draft)
    assert drafts.places(found) == [('error', 'Version')]
