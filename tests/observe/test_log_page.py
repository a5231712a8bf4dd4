"""Hold the page on logs and the code together."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
NOTED = re.compile(r"(?:\.note|_note)\(\s*f?'([a-z_{}.]+)'")
OUTCOMES = {
    'job_{outcome.value}': ('accepted', 'refused', 'in_doubt'),
    'cancel_{outcome.value}': ('accepted', 'refused', 'in_doubt'),
}


def noted():
    """Return the events that the code of hosts names."""
    found = {'lines_left_out'}
    for folder in ('host', 'dispatch'):
        for path in (ROOT / 'hibiscusslip' / folder).glob('*.py'):
            for name in NOTED.findall(path.read_text()):
                prefix = name.partition('{')[0]
                outcomes = OUTCOMES.get(name)
                if outcomes:
                    found.update(prefix + outcome for outcome in outcomes)
                else:
                    found.add(name)
    return found


def told():
    """Return the events that the page names."""
    rows = (ROOT / 'docs' / 'LOGS.md').read_text().splitlines()
    firsts = [row.split('|')[1] for row in rows if row.startswith('| `')]
    return {name for first in firsts for name in re.findall(r'`(\w+)`', first)}


def test_page_names_each_event_and_no_other():
    assert noted() == told()
