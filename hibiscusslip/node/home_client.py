"""Call the owner of a job's home shard, on this or another host."""

import dataclasses
import enum

import result

from hibiscusslip.jobs import exceptions as job_exceptions
from hibiscusslip.jobs import view
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.node import home
from hibiscusslip.peer import base as peer_base
from hibiscusslip.peer import exceptions as peer_exceptions
from hibiscusslip.peer import messages
from hibiscusslip.records import job as job_records

CALL_MARGIN_SECONDS = 5.0


class FailureKind(enum.StrEnum):
    """Classify a failed call to a home by what it means for the request."""

    REFUSED = 'refused'
    UNKNOWN_JOB = 'unknown_job'
    NOT_OWNER = 'not_owner'
    NOT_DELIVERED = 'not_delivered'
    UNSETTLED = 'unsettled'


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Describe a failed call; only UNSETTLED may have had an effect.

    `reason` is a code, `detail` a text for people. `retry_after` is in
    seconds.
    """

    kind: FailureKind
    reason: str
    detail: str
    retry_after: float | None = None
    nearest: str = ''


ViewResult = result.Result[view.JobView, Failure]


def make_refusal(exc: job_exceptions.JobError) -> messages.Refusal:
    """Return the message that reports an error to another host."""
    detail = str(exc)
    if isinstance(exc, job_exceptions.NotAdmitted):
        return messages.Refusal(
            f'policy:{exc.kind}', detail, exc.retry_after, exc.nearest
        )
    return messages.Refusal(type(exc).__name__, detail, exc.retry_after)


def make_failure(refusal: messages.Refusal) -> Failure:
    """Return the failure for a refusal of a peer."""
    kinds = {
        home.NotOwner.__name__: FailureKind.NOT_OWNER,
        job_exceptions.ShardNotReady.__name__: FailureKind.NOT_OWNER,
        home.UnknownJob.__name__: FailureKind.UNKNOWN_JOB,
        home.NotKeptYet.__name__: FailureKind.UNSETTLED,
        home.OwnerChanged.__name__: FailureKind.UNSETTLED,
        'busy': FailureKind.NOT_DELIVERED,
        'closing': FailureKind.NOT_DELIVERED,
        'not_served': FailureKind.NOT_DELIVERED,
    }
    return Failure(
        kinds.get(refusal.kind, FailureKind.REFUSED),
        refusal.kind,
        refusal.detail,
        refusal.retry_after,
        refusal.nearest,
    )


class HomeClient:
    """Call the home on a named host; failures are returned, not raised."""

    def __init__(
        self, me: str, home_: home.Home, peers: peer_base.Peers
    ) -> None:
        self._me = me
        self._home = home_
        self._peers = peers

    async def submit(
        self, host: str, shard: places.Shard, spec: work.JobSpec, wait: float
    ) -> ViewResult:
        """Submit a job; wait up to `wait` seconds for its final outcome."""
        if host == self._me:
            return await self._local(self._home.submit(shard, spec, wait))
        body = messages.JobSubmit(
            shard.zone, shard.number, job_records.encode_job(spec), wait
        )
        return await self._remote(host, body, wait)

    async def status(
        self, host: str, shard: places.Shard, job_id: str, wait: float
    ) -> ViewResult:
        """Query a job; wait up to `wait` seconds for its final outcome."""
        if host == self._me:
            return await self._local(self._home.status(shard, job_id, wait))
        body = messages.JobStatus(shard.zone, shard.number, job_id, wait)
        return await self._remote(host, body, wait)

    async def cancel(
        self, host: str, shard: places.Shard, job_id: str
    ) -> ViewResult:
        """Cancel the tasks of a job that have not ended."""
        if host == self._me:
            return await self._local(self._home.cancel(shard, job_id))
        body = messages.JobCancel(shard.zone, shard.number, job_id)
        return await self._remote(host, body, 0.0)

    async def explain(
        self, host: str, shard: places.Shard, job_id: str
    ) -> result.Result[view.JobHistory, Failure]:
        """Query a job's event history."""
        if host == self._me:
            try:
                return result.Ok(self._home.explain(shard, job_id))
            except job_exceptions.JobError as exc:
                return result.Err(make_failure(make_refusal(exc)))
        body = messages.JobExplain(shard.zone, shard.number, job_id)
        reply = await self._call(host, body, CALL_MARGIN_SECONDS)
        if isinstance(reply, Failure):
            return result.Err(reply)
        if not isinstance(reply, messages.JobHistory):
            return result.Err(_make_unexpected_reply_failure(reply))
        outcome = work.Outcome(reply.outcome)
        return result.Ok(view.JobHistory(reply.job_id, outcome, reply.lines))

    async def _local(self, call) -> ViewResult:
        try:
            return result.Ok(await call)
        except job_exceptions.JobError as exc:
            return result.Err(make_failure(make_refusal(exc)))

    async def _remote(
        self, host: str, body: messages.PeerMessage, wait: float
    ) -> ViewResult:
        reply = await self._call(host, body, wait + CALL_MARGIN_SECONDS)
        if isinstance(reply, Failure):
            return result.Err(reply)
        if not isinstance(reply, messages.JobState):
            return result.Err(_make_unexpected_reply_failure(reply))
        return result.Ok(decode_view(reply))

    async def _call(
        self, host: str, body: messages.PeerMessage, timeout: float
    ) -> messages.PeerMessage | Failure:
        """Call a host; classify failures by whether it may have acted."""
        try:
            return await self._peers.call(host, body, timeout)
        except peer_exceptions.PeerRefused as exc:
            return make_failure(
                messages.Refusal(
                    exc.kind, exc.detail, exc.retry_after, exc.nearest
                )
            )
        except peer_exceptions.PeerUnsettled as exc:
            return Failure(FailureKind.UNSETTLED, 'unsettled', str(exc))
        except peer_exceptions.PeerError as exc:
            kind = FailureKind.NOT_DELIVERED
            return Failure(kind, 'not_delivered', str(exc), 1.0)


def decode_view(state: messages.JobState) -> view.JobView:
    """Return the view in a message."""
    return view.JobView(
        state.job_id,
        work.Outcome(state.outcome),
        state.detail,
        state.answer,
        state.retry_after,
        state.nearest,
    )


def encode_view(job: view.JobView) -> messages.JobState:
    """Return the message for a view."""
    return messages.JobState(
        job.job_id,
        job.outcome.value,
        job.detail,
        job.answer,
        job.retry_after,
        job.nearest,
    )


def _make_unexpected_reply_failure(reply: object) -> Failure:
    detail = f'unexpected reply {type(reply).__name__}; upgrade the hosts'
    return Failure(FailureKind.UNSETTLED, 'odd_reply', detail)
