"""Submit jobs from several threads and record what callers received."""

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
class RequestRecord:
    """Record one request and the responses that its caller received.

    `outcome` is empty until a final one is received.
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
    duration_s: float = 0.0
    sent_at: float = 0.0


def build_job(record: RequestRecord, run_s: float = 0.1, **fields) -> dict:
    """Return the job document of a request."""
    work = payload.Payload(
        run_s=run_s,
        echo=record.name,
        request=record.name,
        repeatable=record.repeatable,
        answer_bytes=fields.pop('answer_bytes', 64),
    )
    return {
        'team': 'sales',
        'kind': 'quote',
        'run_time': max(run_s, 0.01),
        'repeatable': record.repeatable,
        'payload': payload.encode(work).decode(),
        **fields,
    }


def new_request(repeatable: bool = True, keyed: bool = True) -> RequestRecord:
    """Return the record of a new request with a unique name."""
    name = secrets.token_hex(6)
    return RequestRecord(name, name if keyed else '', repeatable)


def submit(
    port: int, record: RequestRecord, wait: float, **fields
) -> RequestRecord:
    """Submit a request once and record the response."""
    headers = {'content-type': 'application/json'}
    if record.key:
        headers['idempotency-key'] = record.key
    record.attempts += 1
    record.sent_at = record.sent_at or time.monotonic()
    path = f'/v1/jobs?wait={wait}'
    body = json.dumps(build_job(record, **fields)).encode()
    try:
        record.status, answer = web.call(
            port, 'POST', path, body, headers, CALL_TIMEOUT_S
        )
    except (OSError, http.client.HTTPException) as exc:
        record.status, record.detail = 0, repr(exc)
        return record
    update_record(record, json.loads(answer))
    return record


def update_record(record: RequestRecord, response: dict) -> None:
    """Record the state of a job from a response."""
    record.job_id = response.get('job_id', record.job_id)
    record.detail = response.get('detail', '')
    record.answer = response.get('answer') or ''
    record.answer_href = response.get('answer_href', '')
    outcome = response.get('outcome', '')
    if outcome in FINAL:
        record.outcome = outcome
        record.duration_s = time.monotonic() - record.sent_at


def submit_until_final(
    ports, record: RequestRecord, timeout: float, **fields
) -> RequestRecord:
    """Submit a request to each host in turn until its outcome is final.

    All attempts have the same key. `not_run` in a refusal holds for that
    attempt only, so the request is submitted again.
    """
    deadline = time.monotonic() + timeout
    for attempt in range(1000):
        ports_now = ports()
        port = ports_now[(attempt + hash(record.name)) % len(ports_now)]
        submit(port, record, 5.0, **fields)
        if record.outcome and record.status == 200:
            return record
        if time.monotonic() > deadline:
            break
        time.sleep(PAUSE_S)
    record.outcome = ''
    return record


class Load:
    """Submit from several threads until stopped; use as a context manager.

    With `retry` each request is retried on any host until its outcome is
    final; without, it is sent once and the response is recorded.
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
        self.records: list[RequestRecord] = []
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
        """Start submitting."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *args: object) -> None:
        """Stop submitting and wait for requests in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join(self._timeout + CALL_TIMEOUT_S)
        assert not any(t.is_alive() for t in self._threads), 'callers hang'
        assert not self._errors, self._errors

    def stop(self) -> None:
        """Stop submitting, without waiting."""
        self._stop.set()

    def _guarded(self, index: int) -> None:
        try:
            self._run(index)
        except BaseException as exc:
            self._errors.append(exc)

    def _run(self, index: int) -> None:
        while not self._stop.is_set():
            record = new_request(self._repeatable, self._keyed)
            self.records.append(record)
            if self._retry:
                submit_until_final(
                    self._ports, record, self._timeout, **self._fields
                )
                continue
            ports = self._ports()
            port = ports[(index + len(self.records)) % len(ports)]
            submit(port, record, 10.0, **self._fields)
            if record.status != 200:
                time.sleep(PAUSE_S)

    def outcomes(self) -> collections.Counter:
        """Return the number of requests by outcome."""
        return collections.Counter(record.outcome for record in self.records)


def port_lister(cell, names=None):
    """Return a function that lists the caller ports of running hosts."""

    def ports() -> list[int]:
        return [
            host.callers
            for name, host in cell.hosts.items()
            if (names is None or name in names)
            and host.running is not None
            and host.running.alive
        ]

    return ports


def check_outcomes(
    cell, records: list[RequestRecord], unknown_ok: bool = False
) -> None:
    """Check the outcomes that callers received against the starts."""
    start_counts = cell.start_counts()
    for one in records:
        count = start_counts.get(f'{one.name}/0', 0)
        if one.outcome == 'not_run':
            assert count == 0, f'outcome not_run, but {count} starts: {one}'
        if one.outcome == 'succeeded':
            assert count >= 1, f'outcome succeeded, but no start: {one}'
            check_answer(one)
        if not one.repeatable:
            assert count <= 1, f'not repeatable, but {count} starts: {one}'
        if not unknown_ok:
            assert one.outcome != 'unknown', one


def check_answer(record: RequestRecord) -> None:
    """Check that a caller received the answer to its own request."""
    if not record.answer:
        return
    task = f'{record.job_id}/0'
    expected = payload.expected_answer(
        task, record.name, len(record.answer)
    ).decode()
    assert record.answer == expected, record
