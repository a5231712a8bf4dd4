"""Check that queues shared between two versions equal those read anew.

Guards against a host that keeps a former version of a queue.
"""

import random

import msgspec

from hibiscusslip.platform import documents
from tests.platform import cell

CHANGES = {
    'Name': tuple('abcdefgh'),
    'Host': ('a.example', 'b.example'),
    'PathPrefix': ('/x/', '/y/'),
    'Service': ('planner', 'print'),
    'TargetLatencyMs': (1000, 1000.1),
    'Priority': (0, 1),
    'MaxAttempts': (1, 2),
    'Stretch': (1, 1.5),
    'Public': (False, True),
    'Advice': (
        None,
        {},
        {'DecisionMs': 1.5},
        {'PeriodMs': 0.3},
        {'ValidMs': 1000},
    ),
}


def test_queues_shared_with_the_former_version_equal_new_ones():
    rng = random.Random(1)
    document = msgspec.json.decode(cell.config_document())
    (base,) = document['Routes']
    document['Routes'] = [base | {'Name': f'q{n}'} for n in range(6)]
    known, shared = None, 0
    for _ in range(1000):
        field = rng.choice(sorted(CHANGES))
        rng.choice(document['Routes'])[field] = rng.choice(CHANGES[field])
        value = msgspec.json.encode(document)
        config = documents.read_configuration(value, known)
        assert config == documents.read_configuration(value)
        former = known.queues if known else {}
        queues = config.queues.items()
        shared += sum(former.get(name) is queue for name, queue in queues)
        known = config
    assert 2000 < shared < 5500
