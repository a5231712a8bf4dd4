"""Hold and print the results of a replay of arrivals."""

import dataclasses

from hibiscusslip.dispatch import estimates


@dataclasses.dataclass(slots=True)
class JobCounts:
    """Count the jobs of a kind by how they completed.

    `total_time` is the time that the completed ones took, `total_wait` the
    time from submission to the first start of those that started, in seconds.
    """

    submitted: int = 0
    on_time: int = 0
    late: int = 0
    completed: int = 0
    total_time: float = 0.0
    started: int = 0
    total_wait: float = 0.0

    def add_start(self, wait: float) -> None:
        """Count the first start of a job, which waited for it."""
        self.started += 1
        self.total_wait += wait

    def add(self, elapsed: float, allowed: float) -> None:
        """Count a job that completed after `elapsed` seconds."""
        self.completed += 1
        self.total_time += elapsed
        self.on_time += elapsed <= allowed
        self.late += allowed < elapsed <= estimates.LATE_FACTOR * allowed


@dataclasses.dataclass(slots=True)
class Report:
    """Represent the results of a replay.

    `pass_times` are the processor times of the scheduling passes in seconds,
    `starts` counts the tasks that were started.
    """

    kinds: dict[str, JobCounts]
    pass_times: list[float]
    starts: int = 0

    @property
    def decisions_per_s(self) -> float:
        """Return the starts per second of processor time."""
        return self.starts / max(sum(self.pass_times), 1e-9)


def print_report(report: Report) -> None:
    """Print the results by kind and the processor time of a pass."""
    print(
        f'{"kind":<12}{"submitted":>10}{"on time":>9}{"late":>7}{"mean s":>8}'
        f'{"wait s":>8}'
    )
    for name, counts in report.kinds.items():
        total = max(counts.submitted, 1)
        print(
            f'{name:<12}{counts.submitted:>10}{counts.on_time / total:>9.3f}'
            f'{counts.late / total:>7.3f}'
            f'{counts.total_time / max(counts.completed, 1):>8.2f}'
            f'{counts.total_wait / max(counts.started, 1):>8.2f}'
        )
    times = sorted(report.pass_times)
    print(
        f'{len(times)} passes: mean {sum(times) / len(times) * 1e3:.2f} ms,'
        f' p99 {times[len(times) * 99 // 100] * 1e3:.2f} ms;'
        f' {report.decisions_per_s:.0f} decisions/s'
    )
