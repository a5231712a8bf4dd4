"""Define the state that the ownership modules share."""

import dataclasses
import math
import random

from hibiscusslip.membership import members as members_
from hibiscusslip.model import places
from hibiscusslip.ownership import _appends
from hibiscusslip.ownership import _introductions
from hibiscusslip.ownership import _leases
from hibiscusslip.ownership import _promises
from hibiscusslip.ownership import _ranking
from hibiscusslip.ownership import _track
from hibiscusslip.ownership import actions
from hibiscusslip.ownership import ledger as ledger_
from hibiscusslip.ownership import timing as timing_
from hibiscusslip.records import zone as zone_records

MAX_ENDED_PROCESSES = 1024


@dataclasses.dataclass(slots=True)
class LogStatus:
    """Store what recent reads and appends showed of the zone's stream.

    Times are in seconds. `caught_up_at` is when the log was last read to its
    end, -inf for never, and `caught_up_since` when an unbroken series of such
    reads began. No claim is appended before `next_claim_at`.
    """

    caught_up_at: float = -math.inf
    caught_up_since: float = math.inf
    appends_failing: bool = False
    next_claim_at: float = -math.inf
    appended: int = 0


class State:
    """Store one host's view of the shards of its zone.

    `listed` is True once the platform's host list was read, `first_known`
    is when each peer was first known by its name. `holders_in_log` maps each
    shard to its holders in the records read, and these to when they were
    first read. `received_transfers` maps the id of a transfer to when the
    state of its shard arrived.
    """

    def __init__(
        self,
        me: places.HostId,
        zone: str,
        shards: int,
        timing: timing_.Timing,
        rng: random.Random,
        now: float,
    ) -> None:
        self.me = me
        self.zone = zone
        self.shards = shards
        self.timing = timing
        self.rng = rng
        self.started_at = now
        self.ledger = ledger_.Ledger(shards, now)
        self.log = LogStatus()
        self.appends = _appends.PendingAppends()
        self.leases = _leases.Leases(timing)
        self.given_promises = _promises.GivenPromises(timing)
        self.promise_requests = _promises.PromiseRequests(timing)
        self.introductions = _introductions.Introductions(me, timing)
        self.members: dict[places.HostId, members_.Member] = {}
        self.ended_processes: dict[places.HostId, float] = {}
        self.listed = False
        self.reading_since = now
        self.first_known: dict[str, float] = {}
        self.alive_since: dict[places.HostId, float] = {}
        self.holders_in_log: dict[int, dict[places.HostId, float]] = {}
        self.draining = False
        self.queued_actions: list[actions.Action] = []
        self.received_transfers: dict[str, float] = {}
        self.last_suggested_at = -math.inf
        self._last_id = 0
        self._rankings: dict[int, list[str]] = {}

    def new_id(self) -> str:
        """Return a new unique id for a record or request."""
        self._last_id += 1
        return f'{self.me}/{self._last_id}'

    def append(
        self,
        record: zone_records.ZoneRecord,
        kind: _track.EntryKind,
        shards: dict[int, tuple[int, int]],
        now: float,
    ) -> None:
        """Queue an append and track it as pending for its shards."""
        append = _appends.PendingAppend(record.record_id, kind, now, shards)
        self.appends.add(append)
        self.log.appended += 1
        self.queued_actions.append(actions.AppendRecord(record))

    def is_log_current(self, now: float) -> bool:
        """Return True if the log was recently read to its end."""
        return now <= self.log.caught_up_at + self.timing.renew_interval

    def candidates(self) -> frozenset[str]:
        """Return the names of the hosts that may own shards."""
        names = {
            member.host.name
            for member in self.members.values()
            if member.alive and not (member.draining or member.leaving)
        }
        names.discard(self.me.name)
        if not self.draining:
            names.add(self.me.name)
        return frozenset(names)

    def ranking(self, shard: int) -> list[str]:
        """Return the candidates for a shard by name, the preferred first."""
        if shard not in self._rankings:
            place = places.Shard(self.zone, shard)
            self._rankings[shard] = _ranking.ranking(place, self.candidates())
        return self._rankings[shard]

    def rank(self, shard: int) -> int:
        """Return this host's position in the ranking, 0 for the first."""
        names = self.ranking(shard)
        if self.me.name not in names:
            return len(names)
        return names.index(self.me.name)

    def clear_rankings(self) -> None:
        """Clear the cached rankings, as the candidates may have changed."""
        self._rankings = {}

    def ended_at(self, host: places.HostId) -> float | None:
        """Return when this host learned that a process ended, or None.

        Any other incarnation of this host itself is an older process, which
        ended before this one started.
        """
        if host.name == self.me.name and host != self.me:
            return self.started_at
        return self.ended_processes.get(host)

    def record_members(self, now: float) -> None:
        """Record when peers were first known and since when they are alive."""
        present = {host.name for host in self.members}
        self.first_known = {
            name: self.first_known.get(name, now) for name in present
        }
        self.alive_since = {
            host: self.alive_since.get(host, now)
            for host, member in self.members.items()
            if member.alive
        }

    def potential_holders(self, shard: int) -> set[places.HostId]:
        """Return the peers that may hold a shard, by the log or by promises.

        These are its holders in the records read so far, and the hosts that
        may have held it before reading began. A host that became known later
        than reading began plus the lag of the host list has started since
        and is not one of them.
        """
        known_by = self.reading_since + self.timing.list_lag
        hosts = set(self.holders_in_log.get(shard, ()))
        hosts.update(
            host
            for host in self.members
            if self.first_known.get(host.name, known_by) <= known_by
        )
        hosts.update(self.ledger.hosts_named_while_unknown(shard))
        hosts.discard(self.me)
        return {host for host in hosts if self.ended_at(host) is None}

    def mark_older_ended(
        self, host: places.HostId, sent_at: float, now: float
    ) -> None:
        """Mark older incarnations of a host that answered as ended.

        The process that answers a message sent at `sent_at` is newer than
        any other incarnation known by then, as a host runs one process at a
        time.
        """
        older = set(self.introductions.known_before(sent_at))
        for shard in range(self.shards):
            held = self.holders_in_log.get(shard, {})
            named = held | self.ledger.hosts_named_while_unknown(shard)
            older.update(h for h, read in named.items() if read < sent_at)
        for other in older:
            if other.name == host.name and other != host:
                self.mark_ended(other, now)

    def mark_ended(self, host: places.HostId, now: float) -> None:
        """Record that a host's process has provably ended."""
        if host == self.me or host in self.ended_processes:
            return
        self.ended_processes[host] = now
        self.introductions.drop(host)
        for holders in self.holders_in_log.values():
            holders.pop(host, None)
        if len(self.ended_processes) > MAX_ENDED_PROCESSES:
            del self.ended_processes[next(iter(self.ended_processes))]
