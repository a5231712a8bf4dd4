"""Run a host with a clock that can be moved, and with a planted fault.

The time of day is shifted by the seconds that a file holds. A planted fault
replaces one decision of the host, so that the soak can show that it finds it.
"""

import contextlib
import os
import pathlib
import sys
import time
import typing

from hibiscusslip.dispatch import _planning
from hibiscusslip.dispatch import state
from hibiscusslip.host import __main__ as starter
from hibiscusslip.host import endpoint_session
from hibiscusslip.host import front
from hibiscusslip.host import host

SHIFT_VARIABLE = 'SOAK_CLOCK_SHIFT_FILE'
PLANT_VARIABLE = 'SOAK_PLANTED'


def shift_clock(path: str) -> None:
    """Have the time of day differ by what a file says, in seconds."""
    real = time.time
    file = pathlib.Path(path)

    def shifted() -> float:
        with contextlib.suppress(OSError, ValueError):
            return real() + float(file.read_text())
        return real()

    time.time = shifted


def no_lease_check() -> None:
    """Take an endpoint's leases for over as soon as it is silent."""
    state.Endpoint.lapsed = lambda self, now: True  # type: ignore


def ends_noted_early() -> None:
    """Acknowledge an end before its record is written."""
    look = endpoint_session.EndpointSession._poll

    async def early(self: typing.Any, endpoint: typing.Any, sent: float):
        endpoint.acknowledged = endpoint.handled
        return await look(self, endpoint, sent)

    endpoint_session.EndpointSession._poll = early  # type: ignore


def stale_gone() -> None:
    """Say that a job doesn't exist if the owner can't be asked."""
    ask = host.Host.query_job_state

    async def stale(self: typing.Any, ident: str):
        try:
            return await ask(self, ident)
        except front.OwnerUnavailable:
            return None

    host.Host.query_job_state = stale  # type: ignore


def run_number_forgotten() -> None:
    """Start each run as the first."""
    start = _planning._start

    def first(
        current: typing.Any, step: typing.Any, choice: typing.Any, run: int
    ) -> None:
        start(current, step, choice, 1)

    _planning._start = first


PLANTS: dict[str, typing.Callable[[], None]] = {
    'lease': no_lease_check,
    'early-note': ends_noted_early,
    'stale-gone': stale_gone,
    'run-number': run_number_forgotten,
}

if __name__ == '__main__':
    shift_clock(os.environ[SHIFT_VARIABLE])
    planted = os.environ.get(PLANT_VARIABLE, '')
    if planted:
        PLANTS[planted]()
    sys.exit(starter.main())
