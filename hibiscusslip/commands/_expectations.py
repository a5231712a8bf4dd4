"""Find the expected run times of a job's steps."""

import collections.abc
import dataclasses
import typing

MS_PER_S = 1000
DECLARED = 'declared'
FORMER_OWNER = 'former owner'
Fields = collections.abc.Mapping[str, typing.Any]  # of one log line


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """Represent the newest expected run time of a step's tasks, in seconds.

    It derives from `runs` finished runs of the group that `source` names. Of
    a step that has `started`, it is that on the endpoint of the last start.
    """

    step: str
    seconds: float
    source: str
    runs: int
    started: bool

    def describe(self) -> str:
        """Return one line of text about the expectation."""
        status = 'started' if self.started else 'not started'
        return (
            f'step {self.step}, {status}, is expected to run for'
            f' {self.seconds:.3f} s, by {self._basis()}'
        )

    def _basis(self) -> str:
        if self.source == DECLARED:
            return 'the declared time'
        if self.source == FORMER_OWNER:
            return "the former owner's ratio of the queue"
        noun = 'run' if self.runs == 1 else 'runs'
        return f'{self.runs} {noun} of the same {self.source}'


def find(lines: collections.abc.Iterable[Fields]) -> list[Expectation]:
    """Return the expectations in the log lines of a job, one for a step."""
    found: dict[str, Expectation] = {}
    for line in lines:
        started = line['event'] == 'run_ordered'
        if 'expected_ms' not in line:
            continue
        if not started and line['event'] != 'step_expected':
            continue
        step = str(line.get('step', ''))
        if started:
            step = str(line.get('task', '')).rpartition('.')[0]
        elif step in found and found[step].started:
            continue  # logged again by a new owner
        found[step] = Expectation(
            step,
            float(line['expected_ms']) / MS_PER_S,
            str(line.get('source', DECLARED)),
            int(line.get('source_runs', 0)),
            started,
        )
    return list(found.values())
