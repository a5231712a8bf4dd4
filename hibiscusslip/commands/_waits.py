"""Find what a job's steps waited for, and for how long."""

import collections.abc
import dataclasses
import typing

# Events that name the cause of a wait, and how the cause is shown.
CAUSES = {
    'held_by_limit': 'the limit of its organisation',
    'retry_held': 'the settings of its queue, which the owner lacked',
    'step_hopeless': 'an endpoint that could run its tasks',
    'step_yields': 'other organisations, which go first',
}
START_EVENTS = frozenset({'run_ordered', 'run_adopted'})

Fields = collections.abc.Mapping[str, typing.Any]  # of one log line


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Represent a wait of a step for one cause.

    `seconds` is the time until the step's next start, None if it didn't start
    any more. `details` are the fields that explain the cause.
    """

    step: str
    cause: str
    seconds: float | None
    details: dict[str, typing.Any]

    def describe(self) -> str:
        """Return one line of text about the wait."""
        length = (
            'without a later start'
            if self.seconds is None
            else f'{self.seconds:.3f} s'
        )
        shown = ' '.join(
            f'{name}={_format(value)}' for name, value in self.details.items()
        )
        return f'step {self.step} waited for {self.cause}, {length}: {shown}'


def find(lines: collections.abc.Sequence[Fields]) -> list[Wait]:
    """Return the waits in the log lines of one job, which are in order."""
    return [
        Wait(
            str(line.get('step', '')),
            CAUSES[line['event']],
            _seconds_to_start(line, lines[index:]),
            _details(line),
        )
        for index, line in enumerate(lines)
        if line['event'] in CAUSES
    ]


def _seconds_to_start(
    line: Fields, later: collections.abc.Iterable[Fields]
) -> float | None:
    """Return the time until a task of the step is started, in seconds."""
    for other in later:
        if other['event'] in START_EVENTS:
            task = str(other.get('task', ''))
            if task.rpartition('.')[0] == line.get('step'):
                return float(other['at']) - float(line['at'])
    return None


def _details(line: Fields) -> dict[str, typing.Any]:
    left_out = ('at', 'host', 'event', 'job', 'step')
    return {
        name: value for name, value in line.items() if name not in left_out
    }


def _format(value: typing.Any) -> str:
    if not isinstance(value, dict):
        return str(value)
    return ','.join(f'{name}:{amount}' for name, amount in value.items())
