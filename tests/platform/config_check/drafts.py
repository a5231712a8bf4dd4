"""Make configurations of the platform and check them."""

import msgspec

from hibiscusslip import config_check
from hibiscusslip.platform import placed_configuration

KEY = 'key-first-0123456789'
OTHER_KEY = 'key-other-0123456789'


def document(route=None, organisations=None, **fields):
    """Return a configuration without faults, with some fields changed."""
    queue = {
        'Name': 'q',
        'Host': 'a.example',
        'PathPrefix': '/q/',
        'Service': 's',
        'TimeoutMs': 3000,
        'TargetLatencyMs': 1000,
        **(route or {}),
    }
    content = {
        'Version': 1,
        'Routes': [queue],
        'Services': [{'Name': 's'}],
        'Limits': {'MaxBodyBytes': 1000},
        **fields,
    }
    if organisations is not None:
        content['Tenants'] = organisations
    return content


def organisation(name='o', keys=(KEY,), **fields):
    """Return an organisation's entry."""
    return {'Name': name, 'ApiKeys': list(keys), **fields}


def read(content):
    """Return the draft of a document that hosts accept."""
    draft = placed_configuration.read(msgspec.json.encode(content))
    assert isinstance(draft, config_check.Draft), draft
    return draft


def check(content):
    """Return the findings in a document as (severity, place)."""
    return places(config_check.check(read(content)))


def compare(old, new):
    """Return the differences between two documents as text."""
    found = config_check.compare(read(old), read(new))
    return [str(finding) for finding in found]


def places(findings):
    """Return the severities and places of findings."""
    return [(str(finding.severity), finding.place) for finding in findings]
