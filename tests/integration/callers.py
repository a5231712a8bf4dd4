"""Submit work from several threads and keep what callers saw."""

import collections
import dataclasses
import http.client
import json
import secrets
import threading
import time

from hibiscusslip.standin import payload
from tests.faults import web

FINAL = ('succeeded', 'failed', 'not_run', 'unknown')
CALL_TIMEOUT_S = 40.0
PAUSE_S = 0.2


@dataclasses.dataclass
class Seen:
    """Hold one request and all that its caller learned of it.

    `outcome` is empty as long as no final one came.
    """

    name: str
    key: str
    repeatable: bool
    outcome: str = ''
    job_id: str = ''
    detail: str = ''
    answer: str = ''
    answer_href: str = ''
    status: int = 0
    attempts: int = 0
    took: float = 0.0
    sent_at: float = 0.0


def document(seen: Seen, run_s: float = 0.1, **fields) -> dict:
    """Return the job document of a request."""
    work = payload.Payload(
        run_s=run_s,
        echo=seen.name,
        request=seen.name,
        repeatable=seen.repeatable,
        answer_bytes=fields.pop('answer_bytes', 64),
    )
    return {
        'team': 'sales',
        'kind': 'quote',
        'run_time': max(run_s, 0.01),
        'repeatable': seen.repeatable,
        'payload': payload.encode(work).decode(),
        **fields,
    }


def request(repeatable: bool = True, keyed: bool = True) -> Seen:
    """Return a new request with a name of its own."""
    name = secrets.token_hex(6)
    return Seen(name, name if keyed else '', repeatable)


def submit(port: int, seen: Seen, wait: float, **fields) -> Seen:
    """Submit a request once; note what the host said."""
    headers = {'content-type': 'application/json'}
    if seen.key:
        headers['idempotency-key'] = seen.key
    seen.attempts += 1
    seen.sent_at = seen.sent_at or time.monotonic()
    path = f'/v1/jobs?wait={wait}'
    body = json.dumps(document(seen, **fields)).encode()
    try:
        seen.status, answer = web.call(
            port, 'POST', path, body, headers, CALL_TIMEOUT_S
        )
    except (OSError, http.client.HTTPException) as exc:
        seen.status, seen.detail = 0, repr(exc)
        return seen
    note(seen, json.loads(answer))
    return seen


def note(seen: Seen, told: dict) -> None:
    """Note the state of a job that a host told."""
    seen.job_id = told.get('job_id', seen.job_id)
    seen.detail = told.get('detail', '')
    seen.answer = told.get('answer') or ''
    seen.answer_href = told.get('answer_href', '')
    outcome = told.get('outcome', '')
    if outcome in FINAL:
        seen.outcome = outcome
        seen.took = time.monotonic() - seen.sent_at


def see_through(ports, seen: Seen, timeout: float, **fields) -> Seen:
    """Submit again with the same key, host by host, until an outcome.

    A refusal tells `not_run` of the attempt only, so it is asked again.
    """
    due = time.monotonic() + timeout
    for turn in range(1000):
        live = ports()
        port = live[(turn + hash(seen.name)) % len(live)]
        submit(port, seen, 5.0, **fields)
        if seen.outcome and seen.status == 200:
            return seen
        if time.monotonic() > due:
            break
        time.sleep(PAUSE_S)
    seen.outcome = ''
    return seen


class Load:
    """Submit from several threads until stopped; a context manager.

    With `retry` each request is seen through on any host; without, it is
    sent once and its caller takes what it is told.
    """

    def __init__(
        self,
        ports,
        threads: int = 6,
        repeatable: bool = True,
        retry: bool = True,
        keyed: bool = True,
        timeout: float = 30.0,
        **fields,
    ) -> None:
        self.seen: list[Seen] = []
        self._ports = ports
        self._repeatable = repeatable
        self._retry = retry
        self._keyed = keyed
        self._timeout = timeout
        self._fields = fields
        self._stop = threading.Event()
        self._errors: list[BaseException] = []
        self._threads = [
            threading.Thread(target=self._guarded, daemon=True, args=(i,))
            for i in range(threads)
        ]

    def __enter__(self) -> 'Load':
        """Start to submit."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *args: object) -> None:
        """Stop to submit and wait for what is in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join(self._timeout + CALL_TIMEOUT_S)
        assert not any(t.is_alive() for t in self._threads), 'callers hang'
        assert not self._errors, self._errors

    def stop(self) -> None:
        """Send no further request."""
        self._stop.set()

    def _guarded(self, index: int) -> None:
        try:
            self._run(index)
        except BaseException as exc:
            self._errors.append(exc)

    def _run(self, index: int) -> None:
        while not self._stop.is_set():
            seen = request(self._repeatable, self._keyed)
            self.seen.append(seen)
            if self._retry:
                see_through(self._ports, seen, self._timeout, **self._fields)
                continue
            ports = self._ports()
            port = ports[(index + len(self.seen)) % len(ports)]
            submit(port, seen, 10.0, **self._fields)
            if seen.status != 200:
                time.sleep(PAUSE_S)

    def outcomes(self) -> collections.Counter:
        """Return how many requests ended in which way."""
        return collections.Counter(seen.outcome for seen in self.seen)


def ports_of(cell, names=None):
    """Return a function that lists the ports of hosts that run."""

    def ports() -> list[int]:
        return [
            host.callers
            for name, host in cell.hosts.items()
            if (names is None or name in names)
            and host.running is not None
            and host.running.alive
        ]

    return ports


def check_truth(cell, seen: list[Seen], unknown_ok: bool = False) -> None:
    """Check what callers were told against what the workers started."""
    started = cell.started()
    for one in seen:
        count = started.get(f'{one.name}/0', 0)
        if one.outcome == 'not_run':
            assert count == 0, f'told not_run, started {count}: {one}'
        if one.outcome == 'succeeded':
            assert count >= 1, f'told succeeded, never started: {one}'
            check_answer(one)
        if not one.repeatable:
            assert count <= 1, f'started {count} times: {one}'
        if not unknown_ok:
            assert one.outcome != 'unknown', one


def check_answer(seen: Seen) -> None:
    """Check that a caller got the whole answer to its own request."""
    if not seen.answer:
        return
    task = f'{seen.job_id}/0'
    own = payload.expected_answer(task, seen.name, len(seen.answer)).decode()
    assert seen.answer == own, seen
