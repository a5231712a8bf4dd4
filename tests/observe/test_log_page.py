"""Check that docs/LOGS.md lists exactly the events that hosts log."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
EVENT_CALL = re.compile(
    r"(?:\.note|\b_log|\b_log_failure)\(\s*f?'([a-z_{}.]+)'"
)
OUTCOMES = {
    'job_{outcome.value}': ('accepted', 'refused', 'in_doubt'),
    'cancel_{outcome.value}': ('accepted', 'refused', 'in_doubt'),
}


def logged_events():
    """Return the event names in the calls of the hosts' code."""
    events = {'lines_left_out'}
    for folder in ('host', 'dispatch'):
        for path in (ROOT / 'hibiscusslip' / folder).glob('*.py'):
            for name in EVENT_CALL.findall(path.read_text()):
                prefix = name.partition('{')[0]
                outcomes = OUTCOMES.get(name)
                if outcomes:
                    events.update(prefix + outcome for outcome in outcomes)
                else:
                    events.add(name)
    return events


def documented_events():
    """Return the event names in the tables of the page."""
    rows = (ROOT / 'docs' / 'LOGS.md').read_text().splitlines()
    first_columns = [
        row.split('|')[1] for row in rows if row.startswith('| `')
    ]
    return {
        name
        for column in first_columns
        for name in re.findall(r'`(\w+)`', column)
    }


def test_page_lists_each_logged_event_and_no_other():
    assert logged_events() == documented_events()
