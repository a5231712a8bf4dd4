"""Ask other hosts: for a job's state, to write, to make way."""

import random

import curio

from hibiscusslip.dispatch import model
from hibiscusslip.host import context
from hibiscusslip.host import front
from hibiscusslip.host import holding
from hibiscusslip.host import inbox
from hibiscusslip.host import notices
from hibiscusslip.peer import exceptions as peer_exceptions
from hibiscusslip.peer import links
from hibiscusslip.peer import messages

ASK_TIMEOUT_S = 0.5
MOST_RELAYS = 2
MOST_PROBED = 4
PROBE_TIMEOUT_S = 0.15
RELAY_TIMEOUT_S = 0.9
ROLL_CALL_TIMEOUT_S = 0.3


class Neighbours(inbox.Relay, holding.Successors):
    """Call the other hosts of the cell."""

    def __init__(self, ctx: context.Context, peers: links.PeerLinks) -> None:
        self._ctx = ctx
        self._links = peers

    async def query_job_state(
        self, known: notices.OwnerNotice, ident: str
    ) -> model.JobState | None:
        """Ask the owner for a job's state; raises OwnerUnknown."""
        self._links.set_address(known.host, known.address, known.port)
        query = messages.CellJobQuery(ident)
        try:
            reply = await self._reach(known.host, query, ASK_TIMEOUT_S)
        except peer_exceptions.PeerError as exc:
            raise front.OwnerUnavailable(str(exc)) from exc
        if not isinstance(reply, messages.CellJobReply):
            raise front.OwnerUnavailable('the owner gave no state')
        return model.JobState(reply.state) if reply.known else None

    async def write(self, items: list[tuple[str, bytes]]) -> inbox.Outcome:
        """Ask up to two other hosts; the first that answers decides.

        Only hosts that have just said that the store serves them: a write
        sent to one that is cut off would leave the caller in doubt.
        """
        outcome = inbox.Outcome.REFUSED
        for name in (await self.served())[:MOST_RELAYS]:
            told = await self._write_at(name, items)
            self._ctx.log.note(
                'inbox_relayed',
                to=name,
                jobs=[key for key, _ in items],
                outcome=told.value,
            )
            if told is inbox.Outcome.ACCEPTED:
                return told
            if told is inbox.Outcome.IN_DOUBT:
                outcome = told
        return outcome

    async def served(self) -> list[str]:
        """Return a few hosts that say that the store serves them."""
        names = self._relays()[:MOST_PROBED]
        query = messages.StoreQuery()
        replies = await self._ask_all(names, query, PROBE_TIMEOUT_S)
        if names:
            some = any(reply is not None for reply in replies.values())
            self._ctx.neighbours_answer(some)
        return _served(replies)

    async def _write_at(
        self, name: str, items: list[tuple[str, bytes]]
    ) -> inbox.Outcome:
        query = messages.InboxWrite(items)
        try:
            reply = await self._call(name, query, RELAY_TIMEOUT_S)
        except peer_exceptions.PeerUnsettled:
            return inbox.Outcome.IN_DOUBT
        except peer_exceptions.PeerRefused as exc:
            in_doubt = exc.kind == inbox.Outcome.IN_DOUBT.value
            return (
                inbox.Outcome.IN_DOUBT if in_doubt else inbox.Outcome.REFUSED
            )
        except peer_exceptions.PeerError:
            return inbox.Outcome.REFUSED
        if isinstance(reply, messages.Done):
            return inbox.Outcome.ACCEPTED
        return inbox.Outcome.IN_DOUBT

    async def release(self, notice: bytes, hosts: list[str]) -> bool:
        """Have one of some hosts write a release; tell whether one did."""
        message = messages.OwnerRelease(notice)
        for name in hosts[:MOST_RELAYS]:
            try:
                reply = await self._call(name, message, RELAY_TIMEOUT_S)
            except peer_exceptions.PeerError:
                continue
            if isinstance(reply, messages.Done):
                return True
        return False

    async def roll_call(self) -> holding.RollCall:
        """Ask all other hosts whether the store serves them."""
        names = [n for n in self._ctx.hosts if n != self._ctx.cfg.name]
        query = messages.StoreQuery()
        replies = await self._ask_all(names, query, ROLL_CALL_TIMEOUT_S)
        return holding.RollCall(
            silent=[name for name, reply in replies.items() if reply is None],
            served=_served(replies),
        )

    async def _ask_all(
        self, names: list[str], message: messages.PeerMessage, timeout: float
    ) -> dict[str, messages.PeerMessage | None]:
        """Return each host's reply, None for one that gave none."""
        async with curio.TaskGroup(wait=all) as group:
            tasks = {
                name: await group.spawn(self._ask_one, name, message, timeout)
                for name in names
            }
        return {name: task.result for name, task in tasks.items()}

    async def _ask_one(
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
        """Call a host; raises PeerError, also when it was just dropped."""
        host = self._ctx.hosts.get(name)
        if host is None:
            raise peer_exceptions.PeerUnreachable(
                f'{name} was taken off the list; ask another host'
            )
        self._links.set_address(name, host.address, host.port)
        return await self._reach(name, message, timeout)

    async def _reach(
        self, name: str, message: messages.PeerMessage, timeout: float
    ) -> messages.PeerMessage:
        """Call a host whose address is set; raises PeerError."""
        try:
            return await self._links.call(name, message, timeout)
        except peer_exceptions.PeerUnsettled:
            # The connection may have gone silent: make a new one.
            self._links.forget(name)
            raise

    def _relays(self) -> list[str]:
        """Return other hosts, the owner and those of other zones first."""
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


def _served(
    replies: dict[str, messages.PeerMessage | None],
) -> list[str]:
    """Return the hosts that said that the store serves them."""
    return [
        name
        for name, reply in replies.items()
        if isinstance(reply, messages.Done)
    ]
