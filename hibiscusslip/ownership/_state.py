"""Hold what the parts of the ownership code share."""

import dataclasses
import math
import random

from hibiscusslip.membership import members as members_
from hibiscusslip.model import places
from hibiscusslip.ownership import _appends
from hibiscusslip.ownership import _choice
from hibiscusslip.ownership import _introductions
from hibiscusslip.ownership import _leases
from hibiscusslip.ownership import _promises
from hibiscusslip.ownership import _track
from hibiscusslip.ownership import actions
from hibiscusslip.ownership import ledger as ledger_
from hibiscusslip.ownership import timing as timing_
from hibiscusslip.records import zone as zone_records

MAX_GONE = 1024


@dataclasses.dataclass(slots=True)
class Log:
    """Hold how the zone's stream looked when last used.

    Times are in seconds, -inf for never.
    """

    caught_up_at: float = -math.inf
    caught_up_since: float = math.inf
    appends_fail: bool = False
    next_claim_at: float = -math.inf
    appended: int = 0


class State:
    """Hold one host's view of the shards of its zone."""

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
        self.log = Log()
        self.appends = _appends.Appends()
        self.leases = _leases.Leases(timing)
        self.given = _promises.Given(timing)
        self.asking = _promises.Asking(timing)
        self.introductions = _introductions.Introductions(me, timing)
        self.members: dict[places.HostId, members_.Member] = {}
        self.gone: dict[places.HostId, float] = {}
        self.listed = False
        self.baseline_at = now
        self.first_known: dict[str, float] = {}
        self.alive_since: dict[places.HostId, float] = {}
        self.possible_holders: dict[int, dict[places.HostId, float]] = {}
        self.draining = False
        self.out: list[actions.Action] = []
        self.received: dict[str, float] = {}
        self.suggested_at = -math.inf
        self._ids = 0
        self._rankings: dict[int, list[str]] = {}

    def new_id(self) -> str:
        """Return an id that no other record or request has."""
        self._ids += 1
        return f'{self.me}/{self._ids}'

    def append(
        self,
        record: zone_records.ZoneRecord,
        kind: _track.Kind,
        shards: dict[int, tuple[int, int]],
        now: float,
    ) -> None:
        """Ask for an append and count its shards as in flight."""
        append = _appends.Append(record.record_id, kind, now, shards)
        self.appends.add(append)
        self.log.appended += 1
        self.out.append(actions.AppendRecord(record))

    def readable(self, now: float) -> bool:
        """Tell whether the log was read to its end a short while ago."""
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
        """Return the candidates' names for a shard, best first."""
        if shard not in self._rankings:
            place = places.Shard(self.zone, shard)
            self._rankings[shard] = _choice.ranking(place, self.candidates())
        return self._rankings[shard]

    def rank(self, shard: int) -> int:
        """Return this host's place in the ranking, 0 for the best."""
        names = self.ranking(shard)
        if self.me.name not in names:
            return len(names)
        return names.index(self.me.name)

    def forget_rankings(self) -> None:
        """Rank anew, as the candidates may have changed."""
        self._rankings = {}

    def ended_at(self, host: places.HostId) -> float | None:
        """Return when a process was known to have ended, None if not.

        Another incarnation of this host is the older one: it was named
        before this process read of it.
        """
        if host.name == self.me.name and host != self.me:
            return self.started_at
        return self.gone.get(host)

    def note_members(self, now: float) -> None:
        """Note when members were first known, and since when they live."""
        present = {host.name for host in self.members}
        self.first_known = {
            name: self.first_known.get(name, now) for name in present
        }
        self.alive_since = {
            host: self.alive_since.get(host, now)
            for host, member in self.members.items()
            if member.alive
        }

    def may_hold(self, shard: int) -> set[places.HostId]:
        """Return the other hosts that may hold a shard without the log.

        Those that held it by records read here, and those that may have
        held it before reading began. Whoever the host list shows only
        later has started since.
        """
        known_by = self.baseline_at + self.timing.list_lag
        hosts = set(self.possible_holders.get(shard, ()))
        hosts.update(
            host
            for host in self.members
            if self.first_known.get(host.name, known_by) <= known_by
        )
        hosts.update(self.ledger.hosts_of_unknown(shard))
        hosts.discard(self.me)
        return {host for host in hosts if self.ended_at(host) is None}

    def outlive(
        self, host: places.HostId, asked_at: float, now: float
    ) -> None:
        """Mark older processes of a host that answered as gone.

        A process that answers what was sent at `asked_at` lives after all
        that was known by then, and a host runs one process at a time.
        """
        older = set(self.introductions.known_before(asked_at))
        for shard in range(self.shards):
            held = self.possible_holders.get(shard, {})
            named = held | self.ledger.hosts_of_unknown(shard)
            older.update(h for h, read in named.items() if read < asked_at)
        for other in older:
            if other.name == host.name and other != host:
                self.mark_gone(other, now)

    def mark_gone(self, host: places.HostId, now: float) -> None:
        """Note the proof that a host's process has ended."""
        if host == self.me or host in self.gone:
            return
        self.gone[host] = now
        self.introductions.drop(host)
        for possible_holders in self.possible_holders.values():
            possible_holders.pop(host, None)
        if len(self.gone) > MAX_GONE:
            del self.gone[next(iter(self.gone))]
