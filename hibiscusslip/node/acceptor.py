"""Take requests from callers and see each one through at its home.

Any host accepts any request. A request is known by its job id, so that
asking a home again, or its successor, never starts anything twice.
"""

import collections.abc
import random

import curio
import result

from hibiscusslip.jobs import identity
from hibiscusslip.jobs import view
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.node import clock
from hibiscusslip.node import home_client
from hibiscusslip.routing import directory

FailureKind = home_client.FailureKind

PATIENCE_SECONDS = 5.0
RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
MAX_CALL_WAIT_SECONDS = 30.0
ELSEWHERE_REASONS = ('policy:impossible', 'policy:queue_full', 'TooManyJobs')

FindOwner = collections.abc.Callable[[places.Shard], str | None]
ChooseHome = collections.abc.Callable[
    [work.JobSpec, frozenset[places.Shard]], places.Shard | None
]


class RequestFailed(Exception):
    """Raise for a request that got no view of its job.

    `maybe_run` tells whether it may have had an effect all the same.
    """

    def __init__(
        self, failure: home_client.Failure, may_have_run: bool, job_id: str
    ) -> None:
        super().__init__(failure.detail)
        self.failure = failure
        self.may_have_run = may_have_run
        self.job_id = job_id


class Acceptor:
    """Route requests to the homes of their jobs."""

    def __init__(
        self,
        calls: home_client.HomeCalls,
        owners: directory.ShardDirectory,
        find_owner: FindOwner,
        choose_home: ChooseHome,
        rng: random.Random,
    ) -> None:
        self._calls = calls
        self._owners = owners
        self._find_owner = find_owner
        self._choose_home = choose_home
        self._rng = rng
        self.retries = 0

    async def submit(self, spec: work.JobSpec, wait: float) -> view.JobView:
        """See a request through; return its job after `wait` s at most.

        `spec.job_id` is empty for a request without a key. Raises
        RequestFailed.
        """
        refusing: frozenset[places.Shard] = frozenset()
        missed: frozenset[places.Shard] = frozenset()
        ends_at = clock.now() + wait
        due = clock.now() + max(wait, PATIENCE_SECONDS)
        if spec.job_id:
            return await self._see_through(spec, wait, due, True)
        while True:
            placed = await self._place_by(ends_at, spec, refusing | missed)
            left = max(ends_at - clock.now(), 0.0)
            try:
                return await self._see_through(placed, left, due, False)
            except RequestFailed as exc:
                if exc.may_have_run or clock.now() >= due:
                    raise
                if not _elsewhere(exc.failure):
                    raise
                failed = exc
            asked = frozenset({identity.home_of(placed.job_id)})
            if failed.failure.kind == FailureKind.REFUSED:
                refusing |= asked
            else:
                missed |= asked
            self.retries += 1
            if self._choose_home(spec, refusing | missed) is not None:
                continue
            if not missed or clock.now() >= ends_at:
                raise failed
            # Owners change: a home that wasn't reached soon has another.
            missed = frozenset()
            await curio.sleep(RETRY_SECONDS)

    async def _place_by(
        self,
        ends_at: float,
        spec: work.JobSpec,
        tried: frozenset[places.Shard],
    ) -> work.JobSpec:
        """Give a request a home, as soon as one is known."""
        while True:
            try:
                return self._place(spec, tried)
            except RequestFailed:
                if clock.now() >= ends_at:
                    raise
            await curio.sleep(RETRY_SECONDS)

    def _place(
        self, spec: work.JobSpec, tried: frozenset[places.Shard]
    ) -> work.JobSpec:
        """Give a request without a key a home and an id."""
        shard = self._choose_home(spec, tried)
        if shard is None:
            detail = 'no host that could run it is reachable; ask again later'
            raise RequestFailed(
                home_client.Failure(
                    FailureKind.NOT_DELIVERED, 'no_home', detail, 1.0
                ),
                False,
                '',
            )
        token = f'{self._rng.getrandbits(64):016x}'
        return work.with_id(spec, identity.fresh_id(shard, token))

    async def _see_through(
        self, spec: work.JobSpec, wait: float, due: float, keyed: bool
    ) -> view.JobView:
        """Ask the home until the job has ended or the time is over."""
        shard = identity.home_of(spec.job_id)
        ends_at = clock.now() + wait
        known = may_have_run = False
        pause = RETRY_SECONDS
        while True:
            left = min(max(ends_at - clock.now(), 0.0), MAX_CALL_WAIT_SECONDS)
            answer = await self._ask(shard, spec, left, known)
            if isinstance(answer, result.Ok):
                job = answer.ok_value
                known = True
                if job.outcome.final or clock.now() >= ends_at:
                    return job
                continue
            failure = answer.err_value
            if failure.kind == FailureKind.REFUSED:
                raise RequestFailed(failure, may_have_run, spec.job_id)
            if failure.kind == FailureKind.UNKNOWN_JOB:
                # Its home had it, so it may have run before it was lost.
                may_have_run = may_have_run or known
                known = False
            if failure.kind == FailureKind.UNSETTLED:
                may_have_run = True
            sent = known or may_have_run
            if clock.now() >= due or not (sent or keyed):
                raise RequestFailed(failure, sent, spec.job_id)
            self.retries += 1
            await curio.sleep(pause)
            pause = min(pause * 2, MAX_RETRY_SECONDS)

    async def _ask(
        self, shard: places.Shard, spec: work.JobSpec, wait: float, known: bool
    ) -> home_client.ViewResult:
        """Submit a job, or ask after it once its home has it."""
        host = self._find_owner(shard)
        if host is None:
            return result.Err(_no_owner(shard))
        if known:
            answer = await self._calls.status(host, shard, spec.job_id, wait)
        else:
            answer = await self._calls.submit(host, shard, spec, wait)
        self._note(host, shard, answer)
        return answer

    def _note(
        self, host: str, shard: places.Shard, answer: home_client.ViewResult
    ) -> None:
        """Forget an owner that turned out not to be one."""
        if isinstance(answer, result.Err):
            gone = (FailureKind.NOT_OWNER, FailureKind.NOT_DELIVERED)
            if answer.err_value.kind in gone:
                self._owners.lost(shard, host)

    async def status(self, job_id: str, wait: float) -> view.JobView:
        """Return how a job stands after `wait` s at most.

        Raises RequestFailed, or identity.BadJobId.
        """
        shard = identity.home_of(job_id)
        ends_at = clock.now() + wait
        due = clock.now() + max(wait, PATIENCE_SECONDS)
        while True:
            left = min(max(ends_at - clock.now(), 0.0), MAX_CALL_WAIT_SECONDS)
            answer = await self._on_owner(
                shard,
                lambda host, left=left: self._calls.status(
                    host, shard, job_id, left
                ),
            )
            if isinstance(answer, result.Ok):
                job = answer.ok_value
                if job.outcome.final or clock.now() >= ends_at:
                    return job
                continue
            await self._pause_or_fail(answer.err_value, due, job_id)

    async def cancel(self, job_id: str) -> view.JobView:
        """Cancel what has not ended of a job."""
        shard = identity.home_of(job_id)
        return await self._once(
            shard,
            job_id,
            lambda host: self._calls.cancel(host, shard, job_id),
        )

    async def explain(self, job_id: str) -> view.JobHistory:
        """Return a job's history."""
        shard = identity.home_of(job_id)
        return await self._once(
            shard,
            job_id,
            lambda host: self._calls.explain(host, shard, job_id),
        )

    async def _once(self, shard: places.Shard, job_id: str, call):
        """Have the home's owner answer, within the patience."""
        due = clock.now() + PATIENCE_SECONDS
        while True:
            answer = await self._on_owner(shard, call)
            if isinstance(answer, result.Ok):
                return answer.ok_value
            await self._pause_or_fail(answer.err_value, due, job_id)

    async def _on_owner(self, shard: places.Shard, call):
        host = self._find_owner(shard)
        if host is None:
            return result.Err(_no_owner(shard))
        answer = await call(host)
        self._note(host, shard, answer)
        return answer

    async def _pause_or_fail(
        self, failure: home_client.Failure, due: float, job_id: str
    ) -> None:
        final = (FailureKind.REFUSED, FailureKind.UNKNOWN_JOB)
        if failure.kind in final or clock.now() >= due:
            raise RequestFailed(failure, True, job_id)
        self.retries += 1
        await curio.sleep(RETRY_SECONDS)


def _elsewhere(failure: home_client.Failure) -> bool:
    """Tell whether another home may take what one did not."""
    if failure.kind != FailureKind.REFUSED:
        return True
    return failure.reason in ELSEWHERE_REASONS


def _no_owner(shard: places.Shard) -> home_client.Failure:
    detail = f'no owner of shard {shard} is known yet; ask again'
    return home_client.Failure(
        FailureKind.NOT_DELIVERED, 'no_owner', detail, 1.0
    )
