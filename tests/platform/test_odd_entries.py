"""Check what an odd entry in the list of endpoints costs, with real hosts.

Another writer has left it. Hosts must stay alive and follow the list, and be
able to start again after all were killed.
"""

import functools

import curio
import msgspec
import pytest

from hibiscusslip.platform import store
from tests.platform import cell as cells
from tests.platform import standin

NESTED = b'[' * 100_000 + b']' * 100_000
TOO_LARGE = b'1' + b'0' * 400  # can't be turned into a float
WAIT_S = 10.0
JOBS = [f'{number:016x}' for number in range(1, 4)]


def entry(**changes):
    """Return an entry with other values, as bytes or to be encoded."""
    fields = msgspec.json.decode(
        standin.Endpoint('odd').entry('127.0.0.1:9', cells.SERVICE)
    )
    for name, value in changes.items():
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        fields[name] = msgspec.Raw(raw)
    return msgspec.json.encode(fields)


def capacity(name, amount):
    amounts = {'Cpu': b'1000', 'MemMb': b'1000', 'Gpu': b'0', name: amount}
    raw = {key: msgspec.Raw(value) for key, value in amounts.items()}
    return msgspec.json.encode(raw)


# One for each reason why an entry names no endpoint to use.
REFUSED = [
    entry(Addr='127.0.0.1:99999'),
    entry(Addr='host.example:80'),
    entry(State='gone'),
    entry(Zone='z' * 256),
    entry(Service='s' * 256),
    entry(Labels=['l'] * 101),
    entry(born=b'1' + b'0' * 400),
    entry(born=-1),
    entry(Seq=2**31 + 1),
    entry(ClockMs=b'1e300'),
    entry(Capacity={'Cpu': -1}),
    entry(Capacity={'Cpu': 2**53 + 2}),
    b'[',
]
TEXTS = (5, None, 'x' * 200_000, '\x00\r\n\x1b[31m', b'"\\ud800"', b'"\xff"')
NUMBERS = (
    TOO_LARGE,
    b'1e400',
    b'-1',
    b'1.5',
    b'"7"',
    b'null',
    b'1e30',
    NESTED,
)
FIELDS = {
    'Addr': (
        '127.0.0.1:99999',
        '127.0.0.1:0',
        '127.0.0.1:00006553699',
        '127.0.0.1:' + '9' * 5000,
        '127.0.0.1\r\nHost: x:80',
        'a\x00b:80',
        '999.1.1.1:80',
        'no-such-host.invalid:80',
        'x' * 200_000 + ':80',
        ':80',
        *TEXTS,
    ),
    'Service': TEXTS,
    'Zone': TEXTS,
    'State': ('gone', *TEXTS),
    'Labels': ([None], ['x' * 200_000], ['x'] * 10_000, NESTED, b'null'),
    'Seq': NUMBERS,
    'ClockMs': (b'1e308', b'-1e308', *NUMBERS),
    'born': NUMBERS,
    'Capacity': (
        *(
            capacity(name, amount)
            for name in ('Cpu', 'MemMb', 'Gpu')
            for amount in NUMBERS
        ),
        NESTED,
        b'null',
    ),
    'Unknown': (NESTED, b'{"a":' * 100_000 + b'1' + b'}' * 100_000, TOO_LARGE),
}
WHOLE = (b'', b'null', b'[]', NESTED, b'[' * 100_000, b'\xff\xfe', b'{')
KEYS = ('', 'n' * 255, 'a\r\nb', 'a\x00b', '\ud7ff', 'ä', ' a ', 'a/b"c')


def odd_records(kind):
    """Return the records of a kind; each has a name of its own."""
    if kind == 'names':
        records = [store.encode_keyed(key, entry()) for key in KEYS]
        return [*records, b'', b'\xff', b'\x03\xff\xfe\xfd' + entry()]
    values = WHOLE
    if kind != 'whole':
        values = [entry(**{kind: value}) for value in FIELDS[kind]]
    return [
        store.encode_keyed(f'odd-{number}', value)
        for number, value in enumerate(values)
    ]


def run(scenario, **options):
    async def main():
        async with cells.running(**options) as cell:
            await cell.wait_until(lambda: cell.owner())
            await scenario(cell)

    curio.run(main)


async def complete(cell, host, job_id):
    """Have a host accept a job of two tasks, which has to complete."""
    state = None
    async with curio.ignore_after(WAIT_S):
        await cell.wait_until(cell.owner, WAIT_S)
        while (await cell.submit(host, job_id)).status != 200:
            await curio.sleep(0.1)
        while state != 'completed':
            state = await cell.state(host, job_id)
            await curio.sleep(0.05)
    assert state == 'completed'


async def survive(topic, records, cell):
    """Check that hosts go on beside records, follow, and start again."""
    await complete(cell, 'h0', JOBS[0])
    owner = cell.owner()
    epoch = cell.contexts[owner].ownership.held_epoch
    cell.store._store_records(topic, 0, records)
    await cell.add_endpoint('e9')
    cell.store.put('keyed.servers', 'e0', b'')
    await complete(cell, 'h1', JOBS[1])  # by e9, which was read after them
    assert cell.owner() == owner
    assert cell.contexts[owner].ownership.held_epoch == epoch
    assert not any(task.terminated for task in cell.hosts.values())
    for name in list(cell.hosts):
        await cell.kill(name)
    await cell.add_host('h2')
    await complete(cell, 'h2', JOBS[2])
    assert not cell.hosts['h2'].terminated


@pytest.mark.parametrize('kind', [*FIELDS, 'whole', 'names'])
def test_odd_entries_cost_nothing_but_themselves(kind):
    """Hosts that read one of them ended again and again."""
    records = odd_records(kind)
    topic = store.ENDPOINTS_TOPIC
    run(functools.partial(survive, topic, records), hosts=2)
