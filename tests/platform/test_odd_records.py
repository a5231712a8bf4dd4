"""Check what an odd record in the system's own topics costs.

As in test_odd_entries: hosts must stay alive, follow the topic and be able to
start again. Hosts of another build, or another writer, have left it.
"""

import math

import msgspec
import pytest

from hibiscusslip.dispatch import records
from hibiscusslip.host import notices
from hibiscusslip.host import topics
from hibiscusslip.platform import store
from tests.platform import cell as cells
from tests.platform import test_odd_entries as odd

NESTED = b'\x91' * 100_000
BROKEN = (b'\xc1', b'\xff', b'\x90', b'\x01', NESTED, b'\xdf\xff\xff\xff\xff')
HUGE = 2**63
JOB = f'{77:016x}'
BODY = b'{"Spec":"x","Steps":[{"Count":2,"Cpu":1000,"MemMb":10}]}'


def replaced(valid, **changes):
    """Return a record with other values; struct types aren't checked."""
    return msgspec.msgpack.encode(msgspec.structs.replace(valid, **changes))


HOST = notices.HostRecord('odd', 'i', 'z1', '127.0.0.1', 9, 1.0)
HOSTS = [
    *BROKEN,
    *(replaced(HOST, port=port) for port in (0, 99_999, -1, HUGE, 1.5)),
    *(
        replaced(HOST, address=address)
        for address in ('x', '', '\x00', 'no-such-host.invalid', 'x' * 10_000)
    ),
    *(
        replaced(HOST, strength=strength)
        for strength in (math.nan, math.inf, -math.inf, 1e308, -1.0)
    ),
    replaced(HOST, descriptors=HUGE),
    replaced(HOST, descriptors=-1),
    replaced(HOST, name='another'),
    replaced(HOST, name=5),
    replaced(HOST, zone='x' * 100_000),
]

NOTICE = notices.OwnerNotice('beat', 1, 'odd', 'i', '127.0.0.1', 9)
NOTICES = [
    *BROKEN,
    replaced(NOTICE, epoch=HUGE),
    replaced(NOTICE, epoch=-HUGE),
    replaced(NOTICE, kind='odd'),
    replaced(NOTICE, port=99_999),
    replaced(NOTICE, address='no-such-host.invalid'),
    replaced(NOTICE, number=HUGE),
    replaced(NOTICE, lapses={'e0': HUGE, 'e1': -HUGE}),
    replaced(NOTICE, loads={'r-small': (HUGE, -HUGE, HUGE, HUGE)}),
    replaced(NOTICE, beyond={'o': HUGE}),
    replaced(NOTICE, waits={cells.SERVICE: [(0, HUGE, HUGE)]}),
    replaced(NOTICE, endpoints=HUGE),
    replaced(NOTICE, endpoints=-HUGE),
]

SUBMISSION = records.Submission('r-small', cells.SERVICE, 1.0, BODY)


def with_step(text):
    return b'{"Spec":"x","Steps":[{"Count":1,%s}]}' % text


BODIES = [
    b'',
    b'[',
    with_step(b'"Cpu":1%s' % (b'0' * 400)),
    with_step(b'"Cpu":1e25'),
    with_step(b'"MemMb":1%s' % (b'0' * 400)),
    with_step(b'"Gpu":1%s' % (b'0' * 400)),
    with_step(b'"EstimateMs":1e308'),
    with_step(b'"TargetMs":1e308'),
    with_step(b'"AntiAffinity":1%s' % (b'0' * 400)),
    with_step(b'"MayMiss":1%s' % (b'0' * 400)),
    b'{"Spec":"x","Steps":[{"Count":1}],"Times":3,"StartMs":1e308,'
    b'"IntervalMs":1}',
    b'{"Spec":"x","Steps":[{"Count":1}],"Times":3,"StartMs":-1e308,'
    b'"IntervalMs":1e308}',
    b'{"Spec":"x","Steps":[{"Count":1}],"X":' + b'[' * 100_000,
]
INBOX = [
    *((JOB, value) for value in BROKEN),
    *(
        (f'{100 + number:016x}', replaced(SUBMISSION, body=body))
        for number, body in enumerate(BODIES)
    ),
    *(
        (f'{200 + number:016x}', replaced(SUBMISSION, accepted=accepted))
        for number, accepted in enumerate(
            (math.nan, math.inf, -math.inf, 1e308, -1e308)
        )
    ),
    *(
        (f'{300 + number:016x}', replaced(SUBMISSION, queue_row=row))
        for number, row in enumerate(
            (
                (HUGE, 1, 1.0, 1.0),
                (0, -HUGE, 1.0, 1.0),
                (0, 1, math.nan, 1.0),
                (0, 1, 1.0, math.inf),
                (0, 1, 1.0, 1.0, (math.nan, math.nan, math.nan)),
                (0, 1, 1.0, 1.0, (1e308, 1e308, -1e308)),
            )
        )
    ),
    ('not-hex', replaced(SUBMISSION)),
    (f'{400:016x}', replaced(SUBMISSION, queue='x' * 10_000)),
    (f'{401:016x}', replaced(SUBMISSION, service='')),
    ('cancel/', b'1'),
    ('cancel/' + 'x' * 200, b'1\xff'),
    (f'cancel/{JOB}', b''),
    ('a\r\nb', b'1'),
]

ROW = records.JobRow(
    'running', [records.TaskRow(0, 0, 0, 2, 1, 0, 'e', '')], []
)


def task(*values):
    return records.TaskRow(*values)


PROGRESS = [
    *BROKEN,
    replaced(ROW, state='odd'),
    replaced(ROW, epoch=HUGE, number=HUGE),
    replaced(ROW, tasks=[task(0, 0, 99, 2, 1, 0, 'e', '')]),
    replaced(ROW, tasks=[task(0, 9, 0, 2, 1, 0, 'e', '')]),
    replaced(ROW, tasks=[task(-1, -1, -1, 2, 1, 0, 'e', '')]),
    replaced(ROW, tasks=[task(0, 0, 0, 99, 1, 0, 'e', '')]),
    replaced(ROW, tasks=[task(0, 0, 0, 2, HUGE, HUGE, 'e', '')]),
    replaced(ROW, occurrences=[10**9]),
    replaced(ROW, completed=[(0, 10**12)]),
    replaced(ROW, endpoints=[('e', 'no address', math.nan)]),
    replaced(ROW, losses=[(0, 0, 99, 1, 'e', '', math.inf)]),
    replaced(ROW, crashes=[(0, 0, 99, HUGE, 1, 1, 1)]),
    replaced(ROW, runs=[(0, 0, 99, 1, 'e', '', 1.0)]),
    replaced(ROW, delays=[(0, 0, 0, math.nan)]),
    replaced(ROW, inbox=([HUGE] * 12, True)),
    replaced(ROW, inbox=([-1], False)),
]


def rename(value, name):
    """Return the record of a host under another name, if it has one."""
    try:
        row = msgspec.msgpack.decode(value)
    except (msgspec.MsgspecError, RecursionError):
        return value
    if isinstance(row, list) and row and row[0] == 'odd':
        row[0] = name
    return msgspec.msgpack.encode(row)


# Each host has a record of its own, as only the newest one of a key is read by
# hosts that start.
HOST_ITEMS = [
    *(
        (f'odd-{n}', rename(value, f'odd-{n}'))
        for n, value in enumerate(HOSTS)
    ),
    ('odd', replaced(HOST, name='another')),
    *((key, replaced(HOST, name=key)) for key in odd.KEYS),
]
JOB_ITEMS = [(f'{n:016x}', value) for n, value in enumerate(PROGRESS, 1000)]


def check(topic, found, setup=lambda cell: None):
    async def scenario(cell):
        setup(cell)
        await odd.survive(topic, found, cell)

    odd.run(scenario, hosts=2)


@pytest.mark.parametrize(
    'topic, items',
    [(topics.HOSTS, HOST_ITEMS), (topics.INBOX, INBOX)],
    ids=['hosts', 'inbox'],
)
def test_odd_records_cost_nothing_but_themselves(topic, items):
    """A number of descriptors of -1 ended each host that read it."""
    check(topic, [store.encode_keyed(key, value) for key, value in items])


def test_odd_notices_of_an_owner_cost_nothing_but_themselves():
    """After an epoch beyond all others no true notice was believed."""
    check(topics.OWNER, NOTICES)


def test_odd_progress_costs_nothing_but_its_job():
    """Owners failed in their recovery, or took all memory."""

    def submit_jobs(cell):
        value = replaced(SUBMISSION)
        records_of_jobs = [
            store.encode_keyed(job_id, value) for job_id, _ in JOB_ITEMS
        ]
        cell.store._store_records(topics.INBOX, 0, records_of_jobs)

    found = [store.encode_keyed(key, value) for key, value in JOB_ITEMS]
    check(topics.JOBS, found, submit_jobs)
