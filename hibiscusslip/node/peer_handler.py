"""Dispatch the calls of other entry hosts to their handlers."""

import collections.abc
import typing

from hibiscusslip import codec
from hibiscusslip.jobs import exceptions as job_exceptions
from hibiscusslip.model import places
from hibiscusslip.node import clock
from hibiscusslip.node import home
from hibiscusslip.node import home_client
from hibiscusslip.ownership import owner
from hibiscusslip.peer import base
from hibiscusslip.peer import messages
from hibiscusslip.records import job as job_records

HandleCall = collections.abc.Callable[
    [places.HostId, typing.Any],
    collections.abc.Awaitable[messages.PeerMessage],
]


class PeerHandler(base.Handler):
    """Dispatch calls by their message type.

    Other components of the node register handlers for their own types.
    """

    def __init__(self, home_: home.Home, ownership: owner.Ownership) -> None:
        self._home = home_
        self._ownership = ownership
        self._handlers: dict[type, HandleCall] = {
            messages.JobSubmit: self._submit,
            messages.JobStatus: self._status,
            messages.JobCancel: self._cancel,
            messages.JobExplain: self._explain,
            messages.PromiseRequest: self._promise,
            messages.IntroductionRequest: self._introduce,
        }

    def register(self, kind: type, handle: HandleCall) -> None:
        """Register the handler of a message type."""
        self._handlers[kind] = handle

    async def handle(
        self, sender: places.HostId, body: messages.PeerMessage
    ) -> messages.PeerMessage:
        """Return the reply to a call; errors become a Refusal."""
        handle = self._handlers.get(type(body))
        if handle is None:
            detail = f'{type(body).__name__} is not served; upgrade this host'
            return messages.Refusal('not_served', detail)
        try:
            return await handle(sender, body)
        except job_exceptions.JobError as exc:
            return home_client.make_refusal(exc)
        except codec.CodecError as exc:
            return messages.Refusal('malformed', str(exc))

    async def _submit(self, sender, body: messages.JobSubmit):
        shard = places.Shard(body.zone, body.shard)
        spec = job_records.decode_job(body.job)
        view = await self._home.submit(shard, spec, body.wait)
        return home_client.encode_view(view)

    async def _status(self, sender, body: messages.JobStatus):
        shard = places.Shard(body.zone, body.shard)
        view = await self._home.status(shard, body.job_id, body.wait)
        return home_client.encode_view(view)

    async def _cancel(self, sender, body: messages.JobCancel):
        shard = places.Shard(body.zone, body.shard)
        view = await self._home.cancel(shard, body.job_id)
        return home_client.encode_view(view)

    async def _explain(self, sender, body: messages.JobExplain):
        shard = places.Shard(body.zone, body.shard)
        history = self._home.explain(shard, body.job_id)
        return messages.JobHistory(
            history.job_id, history.outcome.value, history.lines
        )

    async def _promise(self, sender, body: messages.PromiseRequest):
        return self._ownership.on_promise_request(sender, body, clock.now())

    async def _introduce(self, sender, body: messages.IntroductionRequest):
        return self._ownership.on_introduction_request(
            sender, body, clock.now()
        )
