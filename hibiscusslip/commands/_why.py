"""Tell a job's story from the logs of many hosts."""

import dataclasses
import pathlib
import typing

import msgspec

from hibiscusslip.commands import _output
from hibiscusslip.commands import exceptions

MAX_LINE_CHARS = 64 * 1024
JOB_FIELDS = ('job', 'task', 'step')
# Events after which a job's fate is clear, the strongest first.
DECIDING = (
    'job_refused',
    'job_invalid',
    'job_in_doubt',
    'job_ended',
    'run_lost',
    'run_stands_still',
    'start_in_doubt',
    'start_refused',
    'cancel_taken',
)
BELIEFS = frozenset(
    {
        'owner_won',
        'owner_lost',
        'owner_released',
        'owner_ready',
        'store_lost',
        'store_regained',
        'endpoint_silent',
        'endpoint_distrusted',
        'endpoint_restarted',
        'host_started',
        'host_stopping',
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Hold one log line; `at` is a Unix time by its host's clock."""

    at: float
    host: str
    name: str
    fields: dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Story:
    """Hold what the logs tell of one job.

    `deciding` is the place of the line that settled its fate, or -1;
    `bad_lines` counts lines that couldn't be read.
    """

    job: str
    events: list[Event]
    around: list[Event]
    deciding: int
    bad_lines: int


def read(job: str, paths: list[pathlib.Path]) -> Story:
    """Return a job's story in order; raises CommandError."""
    events: list[Event] = []
    beliefs: list[Event] = []
    bad_lines = 0
    for path in paths:
        for line in _lines(path):
            event = _parse(line)
            if event is None:
                bad_lines += 1
            elif _tells_of(event, job):
                events.append(event)
            elif event.name in BELIEFS:
                beliefs.append(event)
    events.sort(key=lambda event: event.at)
    around = _around(events, beliefs)
    return Story(job, events, around, _deciding(events), bad_lines)


def _lines(path: pathlib.Path) -> typing.Iterator[str]:
    try:
        with path.open(encoding='utf-8', errors='replace') as source:
            yield from source
    except OSError as exc:
        raise exceptions.CommandError(
            f'{path}: {exc.strerror}; name a readable log file'
        ) from exc


def _parse(line: str) -> Event | None:
    """Return the event in a line, also behind a prefix of another program."""
    start = line.find('{')
    if start < 0 or len(line) > MAX_LINE_CHARS:
        return None
    try:
        fields = msgspec.json.decode(line[start:])
        at, host, name = fields['at'], fields['host'], fields['event']
        return Event(float(at), str(host), str(name), fields)
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return None


def _tells_of(event: Event, job: str) -> bool:
    for name in JOB_FIELDS:
        value = event.fields.get(name)
        if isinstance(value, str) and value.partition('.')[0] == job:
            return True
    jobs = event.fields.get('jobs')
    return isinstance(jobs, list) and job in jobs


def _around(events: list[Event], beliefs: list[Event]) -> list[Event]:
    """Return what hosts came to believe while the job was there."""
    if not events:
        return []
    first, last = events[0].at, events[-1].at
    found = [event for event in beliefs if first <= event.at <= last]
    return sorted(found, key=lambda event: event.at)


def _deciding(events: list[Event]) -> int:
    for name in DECIDING:
        for place in range(len(events) - 1, -1, -1):
            if events[place].name == name:
                return place
    return -1


def show(story: Story, as_json: bool) -> int:
    """Print a story; return the exit status."""
    document = {
        'job': story.job,
        'events': [event.fields for event in story.events],
        'around': [event.fields for event in story.around],
        'deciding': story.deciding,
        'bad_lines': story.bad_lines,
    }
    _output.show(document, as_json, _text(story))
    if not story.events:
        return exceptions.Exit.INCOMPLETE
    return exceptions.Exit.DONE


def _text(story: Story) -> str:
    if not story.events:
        return (
            f'no line tells of job {story.job}; {story.bad_lines} unreadable'
            ' lines; name the logs of all hosts'
        )
    start = story.events[0].at
    marked = {id(story.events[story.deciding])} if story.deciding >= 0 else ()
    lines = []
    for event in sorted(
        [*story.events, *story.around], key=lambda event: event.at
    ):
        sign = '*' if id(event) in marked else ' '
        own = '' if event in story.events else '    '
        lines.append(
            f'{sign}{event.at - start:9.3f} s  {own}{event.host}'
            f'  {event.name}  {_details(event)}'
        )
    lines.append(f'{story.bad_lines} unreadable lines; * decided it')
    return '\n'.join(lines)


def _details(event: Event) -> str:
    shown = {
        name: value
        for name, value in event.fields.items()
        if name not in ('at', 'host', 'event', 'job')
    }
    return ' '.join(f'{name}={value}' for name, value in shown.items())
