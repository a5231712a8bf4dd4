"""Check that sheets parse in all CSV dialects and all faults are reported."""

import codecs
import csv
import io

import hypothesis
from hypothesis import strategies as st
import pytest

from hibiscusslip.model import resources
from hibiscusslip.model import work
import hibiscusslip.sheet as sheet
from hibiscusslip.sheet import samples

HEADER = (
    'row,name,team,kind,form,urgency,guarantee,ceiling,lending,copies,cores,'
    'memory_gb,accelerators,weight,run_time_s,repeatable,spread,payload'
)
SHARE = 'share,,,web,,high,0.4,0.8,no,,,,,,,,,'
QUOTA = 'quota,,red,,,,,,,,10,20,1,2,,,,'
WORKLOAD = 'workload,w1,red,web,gang,urgent,,,,3,1.5,0.5,0,,2.5,no,yes,"a,b"'


def make_csv(*rows):
    """Return the header and rows as CSV."""
    return '\n'.join((HEADER, *rows)).encode()


def fault_positions(data):
    """Return the row and column of each fault."""
    faults = sheet.parse(data)
    assert isinstance(faults, list), 'no fault found'
    assert all(fault.remedy for fault in faults)
    return [(fault.row, fault.column) for fault in faults]


def test_valid_rows_give_a_sheet():
    assert sheet.parse(make_csv(SHARE, QUOTA, WORKLOAD)) == sheet.Sheet(
        (sheet.Share('web', 0.4, 0.8, work.Urgency.HIGH, False),),
        (sheet.Quota('red', 10_000, 20 * 1024, 1, 2.0),),
        (
            sheet.Workload(
                'w1',
                'red',
                'web',
                work.Form.GANG,
                work.Urgency.URGENT,
                3,
                resources.Resources(1500, 512, 0),
                2.5,
                False,
                True,
                'a,b',
            ),
        ),
    )


@pytest.mark.parametrize(
    ('old', 'new', 'position'),
    [
        ('share', 'shore', (2, 'row')),
        ('share', '', (2, 'row')),
        ('web,,high', 'w b,,high', (2, 'kind')),
        ('web,,high', ',,high', (2, 'kind')),
        ('high', 'huge', (2, 'urgency')),
        ('0.4', '1.4', (2, 'guarantee')),
        ('0.4', '140%', (2, 'guarantee')),
        ('0.4', 'much', (2, 'guarantee')),
        ('0.4', '', (2, 'guarantee')),
        ('0.8', '0.3', (2, 'ceiling')),
        ('0.8', '-1', (2, 'ceiling')),
        ('0.8,no', '0.8,nay', (2, 'lending')),
        ('0.8,no,,', '0.8,no,4,', (2, 'copies')),
        ('10,20', '0,20', (3, 'cores')),
        ('10,20', '0.0001,20', (3, 'cores')),
        ('10,20', '10 cores,20', (3, 'cores')),
        ('10,20', '"1,024",20', (3, 'cores')),
        ('10,20', '"1,024.5",20', (3, 'cores')),
        ('10,20', '9999999999,20', (3, 'cores')),
        ('20,1,2', '20,1.5,2', (3, 'accelerators')),
        ('20,1,2', '20,1,0', (3, 'weight')),
        ('red,,,,', 'red,,,,x', (3, 'guarantee')),
        ('w1', 'w/1', (4, 'name')),
        ('w1', 'w' * 65, (4, 'name')),
        ('w1,red', 'w1,blue', (4, 'team')),
        ('red,web', 'red,wob', (4, 'kind')),
        ('gang', 'band', (4, 'form')),
        ('gang,urgent', 'service,urgent', (4, 'repeatable')),
        (',3,1.5', ',0,1.5', (4, 'copies')),
        (',3,1.5', ',9,1.5', (4, 'cores')),
        ('0.5,0,', '8,0,', (4, 'memory_gb')),
        ('0.5,0,', '0.5,1,', (4, 'accelerators')),
        ('2.5,no', ',no', (4, 'run_time_s')),
        ('no,yes', 'no,maybe', (4, 'spread')),
        ('"a,b"', 'a,b', (4, '')),
        ('"a,b"', '"a,b', (4, '')),
        ('"a,b"', 'x' * 5000, (4, 'payload')),
        ('weight', 'wait', (1, 'wait')),
        ('row,', 'type,', (1, 'row')),
        (',weight', ',cores', (1, 'cores')),
        (',weight', ',w\udcff', (0, '')),
    ],
)
def test_fault_names_row_and_column(old, new, position):
    text = '\n'.join((HEADER, SHARE, QUOTA, WORKLOAD)).replace(old, new, 1)
    data = text.encode('utf-8', 'surrogateescape')
    assert position in fault_positions(data)


def test_all_faults_are_reported_at_once_and_no_others():
    bad = WORKLOAD.replace('red', 'blue').replace('2.5', 'long')
    assert fault_positions(
        make_csv(SHARE.replace('0.4', 'x'), QUOTA, bad)
    ) == [
        (2, 'guarantee'),
        (4, 'run_time_s'),
        (4, 'team'),
    ]


def test_missing_column_is_reported_once():
    data = make_csv(SHARE, QUOTA, WORKLOAD, WORKLOAD.replace('w1', 'w2'))
    assert fault_positions(data.replace(b'memory_gb', b'', 1)) == [
        (1, 'memory_gb'),
        *[(row, '') for row in (3, 4, 5)],
    ]


def test_duplicates_and_excessive_guarantees_are_faults():
    second = SHARE.replace('web', 'sync').replace('0.4', '0.7')
    assert (
        fault_positions(make_csv(SHARE, second.replace('sync', 'web')))
        == [
            (3, 'ceiling'),
            (3, 'guarantee'),
            (3, 'kind'),
        ][1:]
    )
    assert fault_positions(
        make_csv(SHARE, QUOTA, QUOTA, WORKLOAD, WORKLOAD)
    ) == [
        (4, 'team'),
        (6, 'name'),
    ]


@pytest.mark.parametrize('data', [b'', b'\xef\xbb\xbf\r\n;;;\r\n', HEADER])
def test_sheet_without_rows_is_a_fault(data):
    data = data.encode() if isinstance(data, str) else data
    assert len(fault_positions(data)) == 1


@pytest.mark.parametrize('name', samples.NAMES)
def test_samples_have_no_fault(name):
    parsed = sheet.parse(samples.read(name))
    assert isinstance(parsed, sheet.Sheet)
    assert {item.form for item in parsed.workloads} == set(work.Form)


def test_diff_lists_changed_rows_and_fields():
    old = sheet.parse(make_csv(SHARE, QUOTA, WORKLOAD))
    new = sheet.parse(
        make_csv(
            SHARE.replace('high', 'low'), QUOTA, WORKLOAD.replace('w1', 'w2')
        )
    )
    assert [str(change) for change in sheet.diff(old, new)] == [
        'changed share web: urgency high -> low',
        'removed workload w1',
        'added workload w2',
    ]
    assert sheet.diff(new, new) == []
    assert len(sheet.diff(None, new)) == 3


NAMES = st.from_regex(r'[a-zç][a-z0-9._-]{0,8}', fullmatch=True)
FRACTIONS = st.integers(0, 1000).map(lambda n: n / 1000)
URGENCIES = st.sampled_from(work.Urgency)


@st.composite
def sheets(draw):
    """Draw a valid sheet."""
    kinds = sorted(draw(st.sets(NAMES, min_size=1, max_size=4)))
    teams = sorted(draw(st.sets(NAMES, min_size=1, max_size=4)))
    names = sorted(draw(st.sets(NAMES, max_size=5)))
    guarantees = [draw(st.integers(0, 250)) / 1000 for _ in kinds]
    shares = [
        sheet.Share(
            kind,
            guarantee,
            round(1 - guarantee, 3),
            draw(URGENCIES),
            draw(st.booleans()),
        )
        for kind, guarantee in zip(kinds, guarantees, strict=True)
    ]
    quotas = [
        sheet.Quota(
            team,
            draw(st.integers(10**7, 10**8)),
            draw(st.integers(10**7, 10**8)),
            draw(st.integers(10**4, 10**6)),
            draw(st.integers(1, 9999)) / 1000,
        )
        for team in teams
    ]
    workloads = [draw(workloads_of(name, teams, kinds)) for name in names]
    return sheet.Sheet(tuple(shares), tuple(quotas), tuple(workloads))


@st.composite
def workloads_of(draw, name, teams, kinds):
    """Draw a workload that is within every quota."""
    form = draw(st.sampled_from(work.Form))
    is_service = form is work.Form.SERVICE
    return sheet.Workload(
        name,
        draw(st.sampled_from(teams)),
        draw(st.sampled_from(kinds)),
        form,
        draw(URGENCIES),
        draw(st.integers(1, 1000)),
        resources.Resources(
            draw(st.integers(1, 9999)),
            draw(st.integers(1, 9999)),
            draw(st.integers(0, 9)),
        ),
        draw(st.integers(1, 10**6)) / 1000,
        is_service or draw(st.booleans()),
        draw(st.booleans()),
        draw(st.text('aé ",;\'\n', max_size=9)).strip(),
    )


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(
    sheets(),
    st.sampled_from(',;'),
    st.sampled_from('.,'),
    st.sampled_from(['\r\n', '\n']),
    st.booleans(),
    st.integers(0, 3),
    st.randoms(use_true_random=False),
)
def test_sheet_survives_every_dialect(
    table, delimiter, decimal, end, bom, blank, rng
):
    data = sheet.render(table, delimiter, decimal)
    data = shuffle_columns(data.decode(), delimiter, rng).encode()
    data = data.replace(b'\r\n', end.encode())
    data += (delimiter * 3 + end).encode() * blank
    data = codecs.BOM_UTF8 + data if bom else data
    assert sheet.parse(data) == table


def shuffle_columns(text, delimiter, rng):
    """Return the CSV text with its columns in another order."""
    rows = list(csv.reader(io.StringIO(text, newline=''), delimiter=delimiter))
    order = list(range(len(rows[0])))
    rng.shuffle(order)
    out = io.StringIO(newline='')
    writer = csv.writer(out, delimiter=delimiter)
    writer.writerows([row[index] for index in order] for row in rows)
    return out.getvalue()


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(st.one_of(st.binary(), st.text().map(str.encode)))
def test_any_bytes_are_a_sheet_or_faults(data):
    found = sheet.parse(data)
    assert isinstance(found, sheet.Sheet) or found
