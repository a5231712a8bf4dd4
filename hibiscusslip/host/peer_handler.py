"""Handle calls from the other hosts of the cell."""

import collections.abc

from hibiscusslip.host import advice_routing
from hibiscusslip.host import config_exchange
from hibiscusslip.host import context
from hibiscusslip.host import inbox
from hibiscusslip.host import owner
from hibiscusslip.host import peer_client
from hibiscusslip.host import topics
from hibiscusslip.model import places
from hibiscusslip.peer import base
from hibiscusslip.peer import messages
from hibiscusslip.platform import exceptions

ADVICE_TIMEOUT_S = 4.0
APPEND_TIMEOUT_S = 0.8
RETRY_AFTER_S = 0.2

GetOwner = collections.abc.Callable[[], owner.Owner | None]


class PeerHandler(base.Handler):
    """Handle peer messages; `get_owner` returns the local owner, if any."""

    def __init__(
        self,
        ctx: context.Context,
        job_inbox: inbox.Inbox,
        advice_router: advice_routing.AdviceRouter,
        configs: config_exchange.ConfigExchange,
        get_owner: GetOwner,
    ) -> None:
        self._ctx = ctx
        self._inbox = job_inbox
        self._advice_router = advice_router
        self._configs = configs
        self._get_owner = get_owner

    async def handle(
        self, sender: places.HostId, body: messages.PeerMessage
    ) -> messages.PeerMessage:
        """Return the reply to another host's message; must not raise."""
        if isinstance(body, messages.CellJobQuery):
            return await self._reply_job_state(body)
        if isinstance(body, messages.CellConfigQuery):
            return self._configs.reply(body, context.monotonic())
        if isinstance(body, messages.StoreQuery):
            return self._refuse_without_store() or messages.Done()
        if isinstance(body, messages.VouchQuery):
            return self._reply_vouch(body)
        if isinstance(body, messages.EpochQuery):
            return self._reply_epoch(body)
        if isinstance(body, messages.InboxWrite):
            return await self._write_for_peer(body)
        if isinstance(body, messages.OwnerRelease):
            return await self._write_release(body)
        if isinstance(body, messages.AdviceQuery):
            return await self._reply_advice(body)
        return messages.Refusal('unknown', "this call isn't served here")

    async def _reply_job_state(
        self, query: messages.CellJobQuery
    ) -> messages.PeerMessage:
        local_owner = self._get_owner()
        if local_owner is None or not local_owner.ready:
            return messages.Refusal(
                'not_owner', 'ask the owner', RETRY_AFTER_S
            )
        if query.from_memory:
            known = local_owner.may_know_job(query.job)
            return messages.CellJobReply(known, '')
        try:
            job_state = await local_owner.query_job_state(
                query.job, query.organisation
            )
        except exceptions.PlatformError as exc:
            return messages.Refusal('unknown', str(exc), RETRY_AFTER_S)
        if job_state is None:
            return messages.CellJobReply(False, '')
        return messages.CellJobReply(True, job_state.value)

    async def _reply_advice(
        self, query: messages.AdviceQuery
    ) -> messages.PeerMessage:
        try:
            eligible = await self._advice_router.request_locally(
                query.step, query.endpoints, ADVICE_TIMEOUT_S
            )
        except exceptions.PlatformError as exc:
            return messages.Refusal('no_advice', str(exc), RETRY_AFTER_S)
        return messages.AdviceReply(eligible.tickets, eligible.valid, 0.0)

    def _refuse_without_store(self) -> messages.Refusal | None:
        """Return a refusal if the store doesn't serve this host, else None."""
        if self._ctx.store_available(context.monotonic()):
            return None
        return _refusal(inbox.Outcome.REFUSED, 'no store here')

    def _reply_vouch(self, query: messages.VouchQuery) -> messages.PeerMessage:
        if self._ctx.ownership.vouch(query.epoch, context.monotonic()):
            return messages.Done()
        return messages.Refusal(
            'may_claim', 'this host may claim the ownership', RETRY_AFTER_S
        )

    def _reply_epoch(self, query: messages.EpochQuery) -> messages.PeerMessage:
        if self._ctx.ownership.held_epoch != query.epoch:
            return messages.Done()
        return messages.Refusal('owner', 'this host owns it', RETRY_AFTER_S)

    async def _write_release(
        self, message: messages.OwnerRelease
    ) -> messages.PeerMessage:
        refusal = self._refuse_without_store()
        if refusal is not None:
            return refusal
        try:
            await self._ctx.store.append(
                topics.OWNER, [message.notice], APPEND_TIMEOUT_S
            )
        except exceptions.PlatformError as exc:
            self._ctx.log.note('release_failed', error=str(exc)[:120])
            return _refusal(inbox.Outcome.REFUSED, 'the store failed')
        return messages.Done()

    async def _write_for_peer(
        self, query: messages.InboxWrite
    ) -> messages.PeerMessage:
        refusal = self._refuse_without_store()
        if refusal is not None:
            return refusal
        now = context.monotonic()
        deadline = now + peer_client.RELAY_TIMEOUT_S * 0.8
        outcome = await self._inbox.write(query.items, deadline, True)
        self._ctx.log.note(
            'inbox_written_for_other',
            jobs=[key for key, _ in query.items],
            outcome=outcome.value,
        )
        if outcome is inbox.Outcome.ACCEPTED:
            return messages.Done()
        return _refusal(outcome, 'the store is away here')


def _refusal(outcome: inbox.Outcome, detail: str) -> messages.Refusal:
    """Return the refusal of a record that isn't known to be written."""
    return messages.Refusal(outcome.value, detail, RETRY_AFTER_S)
