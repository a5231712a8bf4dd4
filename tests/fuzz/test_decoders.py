"""Fuzz the decoders of what others write: only their own errors may come.

Valid messages are changed by hypothesis: a value is replaced by one of
another type or size, a field is dropped, or bytes are changed.
"""

import contextlib
import copy
import functools
import json
import os
import struct

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from hibiscusslip import config_check
from hibiscusslip.dispatch import records
from hibiscusslip.host import notices
from hibiscusslip.http import messages
from hibiscusslip.platform import callers
from hibiscusslip.platform import documents
from hibiscusslip.platform import endpoint_client
from hibiscusslip.platform import entry_documents
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import placed_configuration
from hibiscusslip.platform import settings
from hibiscusslip.platform import store
from tests.platform import cell
from tests.platform import samples

EXAMPLES = int(os.environ.get('HIBISCUSSLIP_FUZZ_EXAMPLES', '400'))
ODD = strategies.sampled_from(
    [
        None,
        True,
        -1,
        0,
        2**63,
        10**30,
        10**400,
        1e308,
        -0.5,
        '',
        'x:y',
        ':',
        '10.0.0.1:99999',
        '10.0.0.1:x',
        'ready',
        [],
        {},
        [[]],
        [None, None, None, None, None],
        {'a': 1},
    ]
)
NOTICE = notices.OwnerNotice(
    'beat', 1, 'h', 'i', '10.0.0.1', 1, {}, 1, {'e1': 5}
)
HOST = notices.HostRecord('h', 'i', 'z', '10.0.0.1', 1, 1.0)
ORGANISATIONS = cell.organisations_document(
    keys={'o': ['key-of-o'], 'p': ['key-of-p']}, Advice=cell.ADVICE
)
JOB_ROW = records.JobRow(
    'running',
    [records.TaskRow(0, 0, 0, 2, 1, 0, 'e1', '')],
    [records.StepRow(0, 0, 0, 0, '')],
    [0],
    1,
    1,
)


def places_of(value, path=()):
    """Return the paths to all values within a message."""
    found = [path]
    if isinstance(value, dict):
        for key, item in value.items():
            found += places_of(item, (*path, key))
    if isinstance(value, list):
        for number, item in enumerate(value):
            found += places_of(item, (*path, number))
    return found


@strategies.composite
def changed(draw, valid):
    """Return a valid message with a few of its values changed."""
    message = copy.deepcopy(valid)
    for _ in range(draw(strategies.integers(1, 3))):
        path = draw(strategies.sampled_from(places_of(message)))
        odd = copy.deepcopy(draw(ODD))
        if not path:
            return odd
        holder = functools.reduce(lambda at, key: at[key], path[:-1], message)
        if isinstance(holder, dict) and draw(strategies.booleans()):
            del holder[path[-1]]
        else:
            holder[path[-1]] = odd
    return message


@strategies.composite
def changed_bytes(draw, valid):
    """Return valid bytes with a part replaced."""
    at = draw(strategies.integers(0, len(valid)))
    drop = draw(strategies.integers(0, 8))
    return (
        valid[:at] + draw(strategies.binary(max_size=8)) + valid[at + drop :]
    )


def to_msgpack(struct_message):
    return msgspec.msgpack.decode(msgspec.msgpack.encode(struct_message))


def read_job(body):
    spec = documents.read_job(body)
    assert spec.times <= documents.MAX_OCCURRENCES
    assert all(step.demand.cpu >= 0 for step in spec.steps)


def read_entry(body):
    with contextlib.suppress(exceptions.EntryInvalid):
        entry = entry_documents.read_endpoint_entry('e1', body)
        endpoint_client.EndpointClient('e1', entry.address, None)
        assert entry.capacity.cpu >= 0


def read_report(body):
    """What a report contains must also be readable as a record again."""
    report = documents.read_endpoint_report(body)
    for run in report.running:
        row = records.TaskRow(0, 0, 0, 2, run.run, 0, 'e1', run.checkpoint)
        encoded = msgspec.msgpack.encode(row)
        msgspec.msgpack.decode(encoded, type=records.TaskRow)


def check_configuration(body):
    """A configuration that hosts refuse must have an error."""
    draft = placed_configuration.read(body)
    if isinstance(draft, config_check.Draft):
        base = placed_configuration.read(ORGANISATIONS)
        found = config_check.check(draft) + config_check.compare(base, draft)
        assert 'key-of-o' not in str(found)
    else:
        assert draft
        assert documents.read_configuration(body) is None


JSON_DECODERS = {
    'job': (samples.JOB, read_job, (exceptions.JobInvalid,)),
    'entry': (samples.ENTRY, read_entry, ()),
    'report': (
        samples.REPORT,
        read_report,
        (exceptions.RequestOutcomeUnknown,),
    ),
    'configuration': (
        msgspec.json.decode(cell.config_document()),
        documents.read_configuration,
        (),
    ),
    'checked_configuration': (
        msgspec.json.decode(ORGANISATIONS),
        check_configuration,
        (),
    ),
}
MSGPACK_DECODERS = {
    'notice': (to_msgpack(NOTICE), notices.decode_owner, ()),
    'host': (to_msgpack(HOST), notices.decode_host, ()),
    'job_row': (
        to_msgpack(JOB_ROW),
        records.decode_job,
        (records.Unreadable,),
    ),
    'submission': (
        to_msgpack(records.Submission('q', 's', 1.0, b'x')),
        records.decode_submission,
        (records.Unreadable,),
    ),
}
fuzzed = hypothesis.settings(
    max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
)


def decode(decoder, body, errors):
    """Decode a message; only the decoder's own errors are accepted."""
    try:
        decoder(body)
    except errors:
        pass


@pytest.mark.parametrize('name', JSON_DECODERS)
def test_changed_json_raises_nothing_unexpected(name):
    valid, decoder, errors = JSON_DECODERS[name]
    decoder(msgspec.json.encode(valid))

    @fuzzed
    @hypothesis.given(changed(valid))
    def check(message):
        decode(decoder, json.dumps(message).encode(), errors)

    check()


@pytest.mark.parametrize('name', MSGPACK_DECODERS)
def test_changed_msgpack_raises_nothing_unexpected(name):
    valid, decoder, errors = MSGPACK_DECODERS[name]
    decoder(msgspec.msgpack.encode(valid))

    @fuzzed
    @hypothesis.given(changed(valid))
    def check(message):
        try:
            body = msgspec.msgpack.encode(message)
        except OverflowError:  # msgpack has no integers of that size
            hypothesis.reject()
        decode(decoder, body, errors)

    check()


@pytest.mark.parametrize('name', [*JSON_DECODERS, *MSGPACK_DECODERS])
def test_changed_bytes_raise_nothing_unexpected(name):
    if name in JSON_DECODERS:
        valid, decoder, errors = JSON_DECODERS[name]
        body = msgspec.json.encode(valid)
    else:
        valid, decoder, errors = MSGPACK_DECODERS[name]
        body = msgspec.msgpack.encode(valid)

    @fuzzed
    @hypothesis.given(changed_bytes(body))
    def check(changed_body):
        decode(decoder, changed_body, errors)

    check()


@fuzzed
@hypothesis.given(
    changed_bytes(
        struct.pack('>QQ', 2, 0) + (struct.pack('>I', 3) + b'\x01kv') * 2
    )
)
def test_changed_answers_to_reads_raise_nothing_unexpected(body):
    try:
        batch = store._to_batch(0, body)
    except exceptions.StoreOutcomeUnknown:
        return
    for record in batch.records:
        store.decode_keyed(record)


@fuzzed
@hypothesis.given(strategies.text(max_size=12) | strategies.floats().map(str))
def test_any_deadline_of_a_caller_is_a_usable_timeout(text):
    req = messages.Request(
        'GET', '/', {}, {'x-deadline-ms': text}, b'', '127.0.0.1:9'
    )
    assert callers.request_timeout(req) <= callers.MAX_TIMEOUT_S


@fuzzed
@hypothesis.given(
    changed_bytes(
        cell.SETTINGS_FILE.format(
            name='h', ip='127.0.0.1', store='127.0.0.1:1'
        ).encode()
    )
)
def test_changed_settings_raise_nothing_unexpected(data):
    try:
        settings.parse(data.decode('utf-8', 'replace'))
    except exceptions.SettingsInvalid:
        pass
