"""Call other hosts: for job states, relayed writes, liveness checks."""

import random

import curio

from hibiscusslip.dispatch import model
from hibiscusslip.host import context
from hibiscusslip.host import front
from hibiscusslip.host import inbox
from hibiscusslip.host import lease_peers
from hibiscusslip.host import notices
from hibiscusslip.host import ownership_keeper
from hibiscusslip.peer import exceptions as peer_exceptions
from hibiscusslip.peer import links
from hibiscusslip.peer import messages

JOB_STATE_TIMEOUT_S = 0.5
MAX_RELAYS = 2
MAX_PROBED_HOSTS = 4
PROBE_TIMEOUT_S = 0.15
RELAY_TIMEOUT_S = 0.9
LIVENESS_TIMEOUT_S = 0.3
VOUCH_TIMEOUT_S = 0.3


class PeerClient(
    inbox.Relay, ownership_keeper.Successors, lease_peers.LeasePeers
):
    """Call the other hosts of the cell."""

    def __init__(self, ctx: context.Context, peers: links.PeerLinks) -> None:
        self._ctx = ctx
        self._links = peers

    async def query_job_state(
        self, owner: notices.OwnerNotice, job_id: str, organisation: str
    ) -> model.JobState | None:
        """Return a job's state from the owner; raises OwnerUnavailable."""
        self._links.set_address(owner.host, owner.address, owner.port)
        query = messages.CellJobQuery(job_id, organisation)
        try:
            reply = await self._call_address(
                owner.host, query, JOB_STATE_TIMEOUT_S
            )
        except peer_exceptions.PeerError as exc:
            raise front.OwnerUnavailable(str(exc)) from exc
        if not isinstance(reply, messages.CellJobReply):
            raise front.OwnerUnavailable(
                'the owner replied to a job query with another message'
            )
        return model.JobState(reply.state) if reply.known else None

    async def may_know_job(
        self, owner: notices.OwnerNotice, job_id: str
    ) -> bool:
        """Return False if the owner replies that it hasn't read the job."""
        self._links.set_address(owner.host, owner.address, owner.port)
        query = messages.CellJobQuery(job_id, from_memory=True)
        try:
            reply = await self._call_address(
                owner.host, query, JOB_STATE_TIMEOUT_S
            )
        except peer_exceptions.PeerError:
            return True
        return not isinstance(reply, messages.CellJobReply) or reply.known

    async def write(
        self, items: list[tuple[str, bytes]], hosts: list[str]
    ) -> inbox.Outcome:
        """Ask up to two other hosts to write; stop at the first success.

        `hosts` have just reported that the store serves them: the outcome at
        a partitioned host would be indeterminate.
        """
        outcome = inbox.Outcome.REFUSED
        for name in hosts[:MAX_RELAYS]:
            relay_outcome = await self._relay_to(name, items)
            self._ctx.log.note(
                'inbox_relayed',
                to=name,
                jobs=[key for key, _ in items],
                outcome=relay_outcome.value,
            )
            if relay_outcome is inbox.Outcome.ACCEPTED:
                return relay_outcome
            if relay_outcome is inbox.Outcome.INDETERMINATE:
                outcome = relay_outcome
        return outcome

    async def find_hosts_with_store(self) -> list[str]:
        """Return a few hosts that report that the store serves them."""
        names = self._relay_candidates()[:MAX_PROBED_HOSTS]
        query = messages.StoreQuery()
        replies = await self.call_all(names, query, PROBE_TIMEOUT_S)
        if names:
            any_replied = any(reply is not None for reply in replies.values())
            self._ctx.record_peer_replies(any_replied)
        return _confirming_hosts(replies)

    async def _relay_to(
        self, name: str, items: list[tuple[str, bytes]]
    ) -> inbox.Outcome:
        query = messages.InboxWrite(items)
        try:
            reply = await self._call(name, query, RELAY_TIMEOUT_S)
        except peer_exceptions.PeerUnsettled:
            return inbox.Outcome.INDETERMINATE
        except peer_exceptions.PeerRefused as exc:
            indeterminate = exc.kind == inbox.Outcome.INDETERMINATE.value
            return (
                inbox.Outcome.INDETERMINATE
                if indeterminate
                else inbox.Outcome.REFUSED
            )
        except peer_exceptions.PeerError:
            return inbox.Outcome.REFUSED
        if isinstance(reply, messages.Done):
            return inbox.Outcome.ACCEPTED
        return inbox.Outcome.INDETERMINATE

    async def write_release(self, notice: bytes, hosts: list[str]) -> bool:
        """Return True if one of `hosts` has written a release notice."""
        message = messages.OwnerRelease(notice)
        for name in hosts[:MAX_RELAYS]:
            try:
                reply = await self._call(name, message, RELAY_TIMEOUT_S)
            except peer_exceptions.PeerError:
                continue
            if isinstance(reply, messages.Done):
                return True
        return False

    async def check_liveness(self) -> ownership_keeper.LivenessCheck:
        """Ask all other hosts whether the store serves them."""
        names = [n for n in self._ctx.hosts if n != self._ctx.cfg.name]
        query = messages.StoreQuery()
        replies = await self.call_all(names, query, LIVENESS_TIMEOUT_S)
        return ownership_keeper.LivenessCheck(
            unresponsive=[
                name for name, reply in replies.items() if reply is None
            ],
            with_store=_confirming_hosts(replies),
        )

    async def ask_to_vouch(self, names: list[str], epoch: int) -> list[str]:
        """Return the hosts that vouch for the owner of an epoch."""
        query = messages.VouchQuery(epoch)
        replies = await self.call_all(names, query, VOUCH_TIMEOUT_S)
        return _confirming_hosts(replies)

    async def has_ended(self, owner: notices.OwnerNotice) -> bool:
        """Return True if the owner's host says that it isn't the owner.

        It may have started again, and be listed at another address.
        """
        host = self._ctx.hosts.get(owner.host)
        address = (
            (owner.address, owner.port)
            if host is None
            else (host.address, host.port)
        )
        self._links.set_address(owner.host, *address)
        query = messages.EpochQuery(owner.epoch)
        try:
            reply = await self._call_address(
                owner.host, query, LIVENESS_TIMEOUT_S
            )
        except peer_exceptions.PeerError:
            return False
        return isinstance(reply, messages.Done)

    async def call_all(
        self, names: list[str], message: messages.PeerMessage, timeout: float
    ) -> dict[str, messages.PeerMessage | None]:
        """Return the reply of each host, None for those without one."""
        async with curio.TaskGroup(wait=all) as group:
            tasks = {
                name: await group.spawn(
                    self._call_or_none, name, message, timeout
                )
                for name in names
            }
        return {name: task.result for name, task in tasks.items()}

    async def _call_or_none(
        self, name: str, message: messages.PeerMessage, timeout: float
    ) -> messages.PeerMessage | None:
        try:
            return await self._call(name, message, timeout)
        except peer_exceptions.PeerRefused as exc:
            return messages.Refusal(exc.kind, str(exc))
        except peer_exceptions.PeerError:
            return None

    async def _call(
        self, name: str, message: messages.PeerMessage, timeout: float
    ) -> messages.PeerMessage:
        """Call a host; raises PeerError, also if it isn't listed any more."""
        host = self._ctx.hosts.get(name)
        if host is None:
            raise peer_exceptions.PeerUnreachable(
                f'{name} was taken off the list; ask another host'
            )
        self._links.set_address(name, host.address, host.port)
        return await self._call_address(name, message, timeout)

    async def _call_address(
        self, name: str, message: messages.PeerMessage, timeout: float
    ) -> messages.PeerMessage:
        """Call a host whose address is set; raises PeerError."""
        try:
            return await self._links.call(name, message, timeout)
        except peer_exceptions.PeerUnsettled:
            # The connection may be dead: open a new one for the next call.
            self._links.remove_host(name)
            raise

    def _relay_candidates(self) -> list[str]:
        """Return the other hosts: the owner first, then other zones."""
        ctx = self._ctx
        owner = ctx.ownership.owner
        first = owner.host if owner else ''
        names = [name for name in ctx.hosts if name != ctx.cfg.name]
        random.shuffle(names)
        names.sort(
            key=lambda name: (
                name != first,
                ctx.hosts[name].zone == ctx.cfg.zone,
            )
        )
        return names


def _confirming_hosts(
    replies: dict[str, messages.PeerMessage | None],
) -> list[str]:
    """Return the hosts that replied `Done`."""
    return [
        name
        for name, reply in replies.items()
        if isinstance(reply, messages.Done)
    ]
