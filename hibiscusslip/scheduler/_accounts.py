"""Count what each kind of work and each team holds."""

import collections
import dataclasses

from hibiscusslip.scheduler import _vector
from hibiscusslip.scheduler import base

PEAK_HALF_LIFE_S = 60.0


@dataclasses.dataclass(slots=True, eq=False)
class KindAccount:
    """Hold what a kind has booked and what is kept for it.

    `peak` is the most it held or wanted lately; idle guarantee beyond it is
    lent to other kinds.
    """

    share: base.KindShare
    held: _vector.Vector = _vector.ZERO
    running: int = 0
    peak: _vector.Vector = _vector.ZERO
    peak_at: float = 0.0

    def fraction(self, capacity: _vector.Vector) -> float:
        """Return the held share of the bound dimension."""
        return _vector.dominant(self.held, capacity)

    def reserved(self, capacity: _vector.Vector) -> _vector.Vector:
        """Return what others mustn't borrow of the kind's guarantee."""
        guarantee = _vector.scale(capacity, self.share.guarantee)
        if not self.share.lendable:
            return guarantee
        return _vector.least(self.peak, guarantee)

    def note_peak(self, now: float) -> None:
        """Follow the held amount up at once and down slowly."""
        age = max(0.0, now - self.peak_at)
        faded = _vector.scale(self.peak, 0.5 ** (age / PEAK_HALF_LIFE_S))
        self.peak = _vector.most(faded, self.held)
        self.peak_at = now


class Accounts:
    """Count held amounts by kind, by team and by team within a kind."""

    def __init__(self) -> None:
        self.kinds: dict[str, KindAccount] = {}
        self.quotas: dict[str, base.TeamQuota] = {}
        self._configured: frozenset[str] = frozenset()
        self.capacity = _vector.ZERO
        self.held = _vector.ZERO
        self._teams: dict[str, _vector.Vector] = {}
        self._parts: dict[tuple[str, str], _vector.Vector] = {}
        self.running: collections.Counter[str] = collections.Counter()

    def set_policy(self, policy: base.FleetPolicy) -> None:
        """Take new shares and quotas; what is held stays counted."""
        old = self.kinds
        self.kinds = {}
        for name, share in policy.shares.items():
            account = old.pop(name, None) or KindAccount(share)
            account.share = share
            self.kinds[name] = account
        for name, account in old.items():
            if account.running:
                account.share = base.KindShare(name, 0.0, 0.0)
                self.kinds[name] = account
        self.quotas = policy.quotas
        self._configured = frozenset(policy.shares)

    def known_kind(self, name: str) -> bool:
        """Tell whether the configuration has a share for a kind."""
        return name in self._configured

    def known_kinds(self) -> list[str]:
        """Return the kinds of the configuration."""
        return sorted(self._configured)

    def kind(self, name: str) -> KindAccount:
        """Return a kind's account, an empty share for an unknown one."""
        account = self.kinds.get(name)
        if account is None:
            account = KindAccount(base.KindShare(name, 0.0, 0.0))
            self.kinds[name] = account
        return account

    def take(
        self, kind: str, team: str, need: _vector.Vector, now: float
    ) -> None:
        """Count a booked task."""
        account = self.kind(kind)
        account.held = _vector.add(account.held, need)
        account.running += 1
        account.note_peak(now)
        self._count(kind, team, need)
        self.running[team] += 1

    def give(self, kind: str, team: str, need: _vector.Vector) -> None:
        """Uncount a task that holds nothing any more."""
        account = self.kind(kind)
        account.held = _vector.sub(account.held, need)
        account.running -= 1
        self._count(kind, team, _vector.scale(need, -1))
        self.running[team] -= 1

    def _count(self, kind: str, team: str, need: _vector.Vector) -> None:
        self.held = _vector.add(self.held, need)
        team_held = self._teams.get(team, _vector.ZERO)
        self._teams[team] = _vector.add(team_held, need)
        part = self._parts.get((kind, team), _vector.ZERO)
        self._parts[kind, team] = _vector.add(part, need)

    def team_share(self, kind: str, team: str) -> float:
        """Return the weighted dominant share of a team within a kind."""
        part = self._parts.get((kind, team))
        if part is None:
            return 0.0
        return _vector.dominant(part, self.capacity) / self.weight(team)

    def weight(self, team: str) -> float:
        """Return the weight of a team."""
        quota = self.quotas.get(team)
        return max(quota.weight, 1e-6) if quota else 1.0

    def within_quota(
        self, team: str, need: _vector.Vector, fraction: float
    ) -> bool:
        """Tell whether a team may hold `need` more on this shard.

        A team that holds nothing may always start one task that its whole
        quota admits, however small the shard's part of the quota is.
        """
        quota = self.quotas.get(team)
        if quota is None:
            return True
        whole = _vector.of(quota.limit)
        held = self._teams.get(team, _vector.ZERO)
        if self.running[team] == 0:
            return _vector.fits(need, whole)
        part = _vector.scale(whole, fraction)
        return _vector.fits(_vector.add(held, need), part)

    def over_guarantee(self, kind: str) -> bool:
        """Tell whether a kind holds all that is guaranteed to it."""
        account = self.kind(kind)
        return account.fraction(self.capacity) >= account.share.guarantee

    def standing(self, kind: str) -> float:
        """Return held over guaranteed; 0 means nothing held."""
        account = self.kind(kind)
        fraction = account.fraction(self.capacity)
        return fraction / max(account.share.guarantee, 1e-6)

    def below_ceiling(self, kind: str, need: _vector.Vector) -> bool:
        """Tell whether a kind may hold `need` more."""
        account = self.kind(kind)
        after = _vector.add(account.held, need)
        share = _vector.dominant(after, self.capacity)
        return share <= account.share.ceiling + 1e-9

    def may_hold(self, kind: str, need: _vector.Vector) -> bool:
        """Tell whether shares let a kind hold `need` more.

        Within its guarantee it may; beyond, only up to its ceiling, and
        only what no other kind has used of its own guarantee lately.
        """
        if not self.below_ceiling(kind, need):
            return False
        account = self.kind(kind)
        after = _vector.add(account.held, need)
        guarantee = account.share.guarantee
        if _vector.dominant(after, self.capacity) <= guarantee:
            return True
        if self.standing(kind) < 1.0 and not account.running:
            return True
        return self._lent_room(kind, need)

    def _lent_room(self, kind: str, need: _vector.Vector) -> bool:
        kept = _vector.add(self.held, need)
        for name, other in self.kinds.items():
            if name != kind:
                reserved = other.reserved(self.capacity)
                idle = _vector.sub(reserved, other.held)
                kept = _vector.add(kept, _vector.most(idle, _vector.ZERO))
        pairs = zip(need, kept, self.capacity, strict=True)
        return all(part == 0 or whole <= cap for part, whole, cap in pairs)
