"""Run a host with an adjustable clock and, optionally, an injected bug.

The time of day is shifted by the number of seconds in a file. An injected
bug replaces one decision of the host, to check that the soak finds it.
"""

import contextlib
import os
import pathlib
import sys
import time
import typing

from hibiscusslip.dispatch import _occurrences
from hibiscusslip.dispatch import _reports
from hibiscusslip.dispatch import _step_planning
from hibiscusslip.dispatch import crashes
from hibiscusslip.dispatch import limits
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import usage
from hibiscusslip.host import access
from hibiscusslip.host import endpoint_session
from hibiscusslip.host import front
from hibiscusslip.host import host
from hibiscusslip.host import starting
from hibiscusslip.platform import documents
from tests.platform.soak import layout

SHIFT_VARIABLE = 'SOAK_CLOCK_SHIFT_FILE'
BUG_VARIABLE = 'SOAK_PLANTED'


def shift_clock(path: str) -> None:
    """Shift the time of day by the number of seconds in a file."""
    real = time.time
    file = pathlib.Path(path)

    def shifted() -> float:
        with contextlib.suppress(OSError, ValueError):
            return real() + float(file.read_text())
        return real()

    time.time = shifted


def no_lease_check() -> None:
    """Consider an endpoint's leases expired as soon as it is unresponsive."""
    state.Endpoint.leases_expired = lambda self, now: True  # type: ignore


def acknowledge_before_commit() -> None:
    """Acknowledge the end of a run before its record is committed."""
    poll = endpoint_session.EndpointSession._poll

    async def early(self: typing.Any, endpoint: typing.Any, sent: float):
        endpoint.acknowledged_cursor = endpoint.handled_cursor
        return await poll(self, endpoint, sent)

    endpoint_session.EndpointSession._poll = early  # type: ignore


def report_unknown_as_missing() -> None:
    """Report that a job doesn't exist when the owner can't be queried."""
    query_state = host.Host.query_job_state

    async def stale(self: typing.Any, job_id: str, organisation: str):
        try:
            return await query_state(self, job_id, organisation)
        except front.OwnerUnavailable:
            return None

    host.Host.query_job_state = stale  # type: ignore


def reset_run_number() -> None:
    """Number each run of a task as its first."""
    start = _step_planning._start

    def first(
        current: typing.Any, step: typing.Any, choice: typing.Any, run: int
    ) -> None:
        start(current, step, choice, 1)

    _step_planning._start = first


def send_stale_cursor() -> None:
    """Acknowledge ended runs to endpoints that may have restarted."""
    state.Endpoint.cursor_to_send = (  # type: ignore
        lambda self: self.acknowledged_cursor
    )


def never_give_up() -> None:
    """Start a task again however many endpoints crashed under it."""
    crashes._is_convicted = lambda task: False


def keep_keys() -> None:
    """Go on with the keys of the first configuration with organisations."""
    find = access.Authenticator._find_organisation

    def find_in_first(
        self: typing.Any, config: typing.Any, digest: typing.Any
    ):
        return find(self, self._config or config, digest)

    access.Authenticator._find_organisation = find_in_first  # type: ignore


def limit_each_step() -> None:
    """Compare each step with the limit by itself."""
    count = limits.count_startable

    limits.count_startable = lambda spec, wanted, used, *others: count(
        spec, wanted, usage.Usage(), *others
    )


def take_partial_reports_for_whole() -> None:
    """Take the first ended runs in a report for all of them."""
    documents.MAX_LISTED_ENDS = sys.maxsize


def count_open_tasks_each_time() -> None:
    """Count all tasks of a job for each of its occurrences."""
    next_due = _occurrences.next_due

    def count_first(job: typing.Any, wall_time: float):
        for _ in range(10):
            sum(len(step.tasks) - step.done_count for step in job.steps())
        return next_due(job, wall_time)

    _occurrences.next_due = count_first
    _occurrences.MAX_CREATED_TASKS = _occurrences.MAX_OPEN_TASKS


def use_former_entries() -> None:
    """Use a restarted endpoint by its former entry."""
    _reports._check_entry = lambda engine, endpoint, born, now: None


BUGS: dict[str, typing.Callable[[], None]] = {
    'lease': no_lease_check,
    'early-note': acknowledge_before_commit,
    'stale-gone': report_unknown_as_missing,
    'run-number': reset_run_number,
    'stale-cursor': send_stale_cursor,
    'endless-crashes': never_give_up,
    'kept-keys': keep_keys,
    'limit-per-step': limit_each_step,
    'long-pieces': count_open_tasks_each_time,
    'former-kind': use_former_entries,
    'partial-ends': take_partial_reports_for_whole,
}

if __name__ == '__main__':
    documents.MAX_LISTED_ENDS = layout.MAX_LISTED_ENDS
    shift_clock(os.environ[SHIFT_VARIABLE])
    bug = os.environ.get(BUG_VARIABLE, '')
    if bug:
        BUGS[bug]()
    sys.exit(starting.main())
