"""Reconstruct the timeline of a job from the logs of several hosts."""

import dataclasses
import pathlib
import typing

import msgspec

from hibiscusslip.commands import _expectations
from hibiscusslip.commands import _output
from hibiscusslip.commands import _waits
from hibiscusslip.commands import exceptions

MAX_LINE_CHARS = 64 * 1024
JOB_FIELDS = ('job', 'task', 'step')
# Events that decide the outcome of a job, the most conclusive first.
DECIDING_EVENTS = (
    'job_refused',
    'job_rejected',
    'job_invalid',
    'caller_refused',
    'job_in_doubt',
    'job_ended',
    'run_lost',
    'run_stands_still',
    'start_in_doubt',
    'start_refused',
    'cancel_ignored',
    'cancel_undecided',
    'cancel_taken',
    'held_by_limit',
    'retry_held',
    'step_hopeless',
)
# Changes of the state of hosts, shards and endpoints that may explain what
# happens to a job meanwhile.
CONTEXT_EVENTS = frozenset(
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
    """Represent a log line; `at` is the Unix time by its host's clock."""

    at: float
    host: str
    name: str
    fields: dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Timeline:
    """Represent the events of one job, ordered by time.

    `around` has the context events of the same period, `deciding` is the
    index of the event that decided the outcome, or -1, and `bad_lines` is the
    number of lines that couldn't be parsed. `waits` are those whose cause an
    event names, `expectations` the expected run times of its steps.
    """

    job: str
    events: list[Event]
    around: list[Event]
    deciding: int
    bad_lines: int
    waits: list[_waits.Wait] = dataclasses.field(default_factory=list)
    expectations: list[_expectations.Expectation] = dataclasses.field(
        default_factory=list
    )


def read_timeline(job: str, paths: list[pathlib.Path]) -> Timeline:
    """Return the timeline of a job from log files.

    Raises CommandError if a file is unreadable.
    """
    events: list[Event] = []
    context: list[Event] = []
    bad_lines = 0
    for path in paths:
        for line in _read_lines(path):
            event = _parse_event(line)
            if event is None:
                bad_lines += 1
            elif _concerns(event, job):
                events.append(event)
            elif event.name in CONTEXT_EVENTS:
                context.append(event)
    events.sort(key=lambda event: event.at)
    around = _select_context(events, context)
    deciding = _find_deciding(events)
    lines = [event.fields for event in events]
    return Timeline(
        job,
        events,
        around,
        deciding,
        bad_lines,
        _waits.find(lines),
        _expectations.find(lines),
    )


def _read_lines(path: pathlib.Path) -> typing.Iterator[str]:
    try:
        with path.open(encoding='utf-8', errors='replace') as source:
            yield from source
    except OSError as exc:
        raise exceptions.CommandError(
            f'{path}: {exc.strerror}; use the path of a readable log file'
        ) from exc


def _parse_event(line: str) -> Event | None:
    """Return the event of a line, which may have a prefix, or None."""
    start = line.find('{')
    if start < 0 or len(line) > MAX_LINE_CHARS:
        return None
    try:
        fields = msgspec.json.decode(line[start:])
        at, host, name = fields['at'], fields['host'], fields['event']
        return Event(float(at), str(host), str(name), fields)
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return None


def _concerns(event: Event, job: str) -> bool:
    for name in JOB_FIELDS:
        value = event.fields.get(name)
        if isinstance(value, str) and value.partition('.')[0] == job:
            return True
    jobs = event.fields.get('jobs')
    return isinstance(jobs, list) and job in jobs


def _select_context(events: list[Event], context: list[Event]) -> list[Event]:
    """Return the context events from the job's first event to its last."""
    if not events:
        return []
    first, last = events[0].at, events[-1].at
    matching = [event for event in context if first <= event.at <= last]
    return sorted(matching, key=lambda event: event.at)


def _find_deciding(events: list[Event]) -> int:
    for name in DECIDING_EVENTS:
        for index in range(len(events) - 1, -1, -1):
            if events[index].name == name:
                return index
    return -1


def show_timeline(timeline: Timeline, as_json: bool) -> int:
    """Print a timeline and return the exit code."""
    document = {
        'job': timeline.job,
        'events': [event.fields for event in timeline.events],
        'around': [event.fields for event in timeline.around],
        'deciding': timeline.deciding,
        'bad_lines': timeline.bad_lines,
        'waits': [dataclasses.asdict(wait) for wait in timeline.waits],
        'expectations': [
            dataclasses.asdict(item) for item in timeline.expectations
        ],
    }
    _output.show(document, as_json, _format_timeline(timeline))
    if not timeline.events:
        return exceptions.ExitCode.INCOMPLETE
    return exceptions.ExitCode.DONE


def _format_timeline(timeline: Timeline) -> str:
    if not timeline.events:
        return (
            f'no log line mentions job {timeline.job}; {timeline.bad_lines}'
            ' unreadable lines; give the logs of all hosts'
        )
    start = timeline.events[0].at
    decisive = (
        {id(timeline.events[timeline.deciding])}
        if timeline.deciding >= 0
        else ()
    )
    lines = []
    for event in sorted(
        [*timeline.events, *timeline.around], key=lambda event: event.at
    ):
        marker = '*' if id(event) in decisive else ' '
        indent = '' if event in timeline.events else '    '
        lines.append(
            f'{marker}{event.at - start:9.3f} s  {indent}{event.host}'
            f'  {event.name}  {_format_fields(event)}'
        )
    lines.extend(wait.describe() for wait in timeline.waits)
    lines.extend(item.describe() for item in timeline.expectations)
    lines.append(
        f'{timeline.bad_lines} unreadable lines; * marks the deciding event'
    )
    return '\n'.join(lines)


def _format_fields(event: Event) -> str:
    shown = {
        name: value
        for name, value in event.fields.items()
        if name not in ('at', 'host', 'event', 'job')
    }
    return ' '.join(f'{name}={value}' for name, value in shown.items())
