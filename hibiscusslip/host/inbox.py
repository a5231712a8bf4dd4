"""Write the records of callers to the store, in groups.

An append carries all records that arrived while the previous one was in
flight. The store may answer late, after one or two seconds, to all hosts or
to a few of them. A late answer is awaited for as long as the caller waits,
and later records go out in an append of their own. If the store answers this
host nothing at all, another host is asked to write the same records, which
is idempotent. While the store answers other calls it is merely slow, and a
second write would slow it down further.
"""

import abc
import dataclasses
import enum

import curio

from hibiscusslip.host import context
from hibiscusslip.host import crash_logging
from hibiscusslip.host import repeating
from hibiscusslip.host import topics
from hibiscusslip.host import wakeup_event
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store

APPEND_TIMEOUT_S = 2.6  # callers wait for 3 s
RELAY_AFTER_S = 1.0
GROUP_WAIT_S = 0.3
MAX_GROUPS = 8
RETRY_PAUSE_S = 0.03
REFUSE_AFTER_S = 0.25
IDLE_S = 5.0
POLL_S = 0.1
UNAVAILABLE_WAIT_SHARE = 0.45  # of the caller's timeout
MIN_WRITE_TIME_S = 0.04  # a write to the store takes longer
MAX_WAITING = 500
MAX_GROUP_BYTES = 128 * 1024  # another host can write it in time, too


class Outcome(enum.StrEnum):
    """The outcome of writing a record.

    A refused record is known not to be written; an indeterminate one may be
    written, now or later.
    """

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    INDETERMINATE = 'in_doubt'


class Relay(abc.ABC):
    """Interface for writing records through another host."""

    @abc.abstractmethod
    async def find_hosts_with_store(self) -> list[str]:
        """Return a few hosts that report that the store serves them."""

    @abc.abstractmethod
    async def write(
        self, items: list[tuple[str, bytes]], hosts: list[str]
    ) -> Outcome:
        """Return the outcome of writing the records at one of `hosts`."""


@dataclasses.dataclass(slots=True, eq=False)
class _Entry:
    """Records to write together, for one caller.

    From `refuse_at` on, a refusal of the store isn't retried any more. Once
    the caller has been `answered`, the records mustn't be sent any more.
    """

    items: list[tuple[str, bytes]]
    refuse_at: float
    deadline: float
    done: curio.Event
    relayed: bool
    indeterminate: bool = False
    answered: bool = False
    outcome: Outcome = Outcome.REFUSED


class Inbox:
    """Queue of records that wait to be written to the store."""

    def __init__(self, ctx: context.Context, relay: Relay) -> None:
        self._ctx = ctx
        self._relay = relay
        self._waiting: list[_Entry] = []
        self._wakeup = wakeup_event.WakeupEvent()
        self._group_tasks: list[curio.Task] = []
        cfg = ctx.cfg
        self._part = topics.inbox_part(cfg.name, cfg.partitions)

    async def write(
        self,
        items: list[tuple[str, bytes]],
        deadline: float,
        relayed: bool = False,
    ) -> Outcome:
        """Write keys with values, all or none, and return the outcome.

        `relayed` records come from another host and aren't relayed again.
        After a lost answer the record may still appear, so the write is
        retried until it is confirmed or the deadline has passed.
        """
        now = context.monotonic()
        too_late = deadline < now + MIN_WRITE_TIME_S
        if too_late or len(self._waiting) >= MAX_WAITING:
            return Outcome.REFUSED
        refuse_at = min(now + REFUSE_AFTER_S, deadline)
        entry = _Entry(items, refuse_at, deadline, curio.Event(), relayed)
        self._waiting.append(entry)
        await self._wakeup.set()
        await self._await_outcome(entry, now)
        entry.answered = True
        if entry in self._waiting:
            self._waiting.remove(entry)
        return entry.outcome

    async def _await_outcome(self, entry: _Entry, started: float) -> None:
        """Wait until an entry is done, or until waiting longer is useless.

        A late answer of a slow store is worth waiting for. Once the store is
        unavailable an answer rarely comes in time, so the caller is sent the
        indeterminate outcome well before its own timeout.
        """
        give_up_at = started + UNAVAILABLE_WAIT_SHARE * (
            entry.deadline - started
        )
        now = started
        while not entry.done.is_set() and now < entry.deadline:
            if now >= give_up_at and not self._ctx.store_available(now):
                entry.deadline = now
                return
            async with curio.ignore_after(min(POLL_S, entry.deadline - now)):
                await entry.done.wait()
            now = context.monotonic()

    async def run(self) -> None:
        """Write the queued records until cancelled."""
        while True:
            await self._wakeup.wait(IDLE_S)
            while self._waiting:
                group = self._dequeue_group()
                await self._start_group(group)

    async def _start_group(self, group: list[_Entry]) -> None:
        """Start writing a group; wait for it for GROUP_WAIT_S at most."""
        self._group_tasks = [t for t in self._group_tasks if not t.terminated]
        if len(self._group_tasks) >= MAX_GROUPS:
            await self._group_tasks.pop(0).wait()
        task = await curio.spawn(self._write_group_logged, group, daemon=True)
        self._group_tasks.append(task)
        async with curio.ignore_after(GROUP_WAIT_S):
            await task.wait()

    async def _write_group_logged(self, group: list[_Entry]) -> None:
        try:
            await self._write_group(group)
        except Exception as exc:
            crash_logging.log_crash(self._ctx, 'inbox group', exc)

    def _dequeue_group(self) -> list[_Entry]:
        size = 0
        group: list[_Entry] = []
        for entry in self._waiting:
            size += sum(len(value) for _, value in entry.items)
            if group and size > MAX_GROUP_BYTES:
                break
            group.append(entry)
        self._waiting = self._waiting[len(group) :]
        for entry in group:
            # Unknown until the attempt has ended.
            entry.outcome = Outcome.INDETERMINATE
        return group

    async def _write_group(self, group: list[_Entry]) -> None:
        """Try the store, then other hosts; refuse what provably failed.

        While the store is known to be unavailable nothing is sent to it, so
        that records are refused at once and never become indeterminate.
        """
        store_unavailable = not self._ctx.store_available(context.monotonic())
        if store_unavailable:
            _apply_outcome(group, Outcome.REFUSED)
            outcome = await self._relay_group(group)
        else:
            outcome = await self._write_locally(group)
        await self._finish_or_retry(group, outcome, store_unavailable)

    async def _write_locally(self, group: list[_Entry]) -> Outcome:
        """Append a group; relay it if that fails or no answer comes."""
        append = await curio.spawn(self._append, group, daemon=True)
        while not append.terminated:
            async with curio.ignore_after(RELAY_AFTER_S):
                await append.wait()
            now = context.monotonic()
            if now >= self._ctx.store_answered_at + RELAY_AFTER_S:
                break
        local_outcome = (
            append.result if append.terminated else Outcome.INDETERMINATE
        )
        if local_outcome is Outcome.ACCEPTED:
            return local_outcome
        _apply_outcome(group, local_outcome)
        relay_outcome = await self._relay_group(group)
        if relay_outcome is Outcome.ACCEPTED:
            return relay_outcome
        _apply_outcome(group, relay_outcome)
        return await append.join()

    async def _append(self, group: list[_Entry]) -> Outcome:
        records = [
            store.encode_keyed(*item) for e in group for item in e.items
        ]
        started = context.monotonic()
        left = max(entry.deadline for entry in group) - started
        timeout = min(max(left, RELAY_AFTER_S), APPEND_TIMEOUT_S)

        async def append(timeout: float, began: repeating.Began) -> int:
            return await self._ctx.store.append(
                topics.INBOX, records, timeout, part=self._part
            )

        try:
            await repeating.call(self._ctx, append, timeout)
        except exceptions.StoreUnavailable as exc:
            self._ctx.record_store_failure(str(exc))
            self._log_failure('inbox_refused', group, exc)
            return Outcome.REFUSED
        except exceptions.PlatformError as exc:
            self._ctx.record_store_failure(str(exc))
            self._log_failure('inbox_in_doubt', group, exc)
            return Outcome.INDETERMINATE
        now = context.monotonic()
        self._ctx.record_store_success(now)
        self._ctx.metrics.time('inbox_append', now - started)
        return Outcome.ACCEPTED

    async def _relay_group(self, group: list[_Entry]) -> Outcome:
        if all(entry.relayed for entry in group):
            return Outcome.REFUSED
        hosts = await self._relay.find_hosts_with_store()
        unrelayed = [
            entry
            for entry in group
            if not entry.relayed and not entry.answered
        ]
        if not hosts or not unrelayed:
            return Outcome.REFUSED
        for entry in unrelayed:
            # Unknown until the attempt has ended.
            entry.outcome = Outcome.INDETERMINATE
        items = [item for entry in unrelayed for item in entry.items]
        outcome = await self._relay.write(items, hosts)
        self._ctx.metrics.count('inbox_relayed', outcome=outcome.value)
        if outcome is Outcome.ACCEPTED and len(unrelayed) < len(group):
            await self._finish_or_retry(unrelayed, outcome, False)
            return Outcome.REFUSED  # for the relayed entries, which are left
        return outcome

    async def _finish_or_retry(
        self, group: list[_Entry], outcome: Outcome, store_unavailable: bool
    ) -> None:
        """Finish the entries whose outcome is final; retry the others."""
        now = context.monotonic()
        _apply_outcome(group, outcome)
        retried = []
        for entry in group:
            if entry.done.is_set():
                continue
            refused = not entry.indeterminate and (
                store_unavailable or now >= entry.refuse_at
            )
            if outcome is Outcome.ACCEPTED or refused:
                await entry.done.set()
            elif now < entry.deadline:
                retried.append(entry)
        if retried:
            self._waiting = retried + self._waiting
            await curio.sleep(RETRY_PAUSE_S)
            await self._wakeup.set()

    def _log_failure(
        self, event: str, group: list[_Entry], exc: Exception
    ) -> None:
        self._ctx.metrics.count(event)
        self._ctx.log.note(
            event,
            jobs=[key for entry in group[:5] for key, _ in entry.items],
            count=len(group),
            error=str(exc)[:120],
        )


def _apply_outcome(group: list[_Entry], outcome: Outcome) -> None:
    """Record an attempt's outcome; indeterminate never turns to refused."""
    for entry in group:
        if entry.done.is_set():
            continue
        if outcome is Outcome.INDETERMINATE:
            entry.indeterminate = True
        entry.outcome = outcome
        if outcome is Outcome.REFUSED and entry.indeterminate:
            entry.outcome = Outcome.INDETERMINATE
