"""Count what each kind of work and each team holds."""

import collections
import dataclasses

from hibiscusslip.scheduler import _reserve
from hibiscusslip.scheduler import _vector
from hibiscusslip.scheduler import base

PEAK_HALF_LIFE_S = 60.0
PEAK_HEADROOM = 0.25
TROUGH_SPEED = 4
PEAK_STEP_S = 1.0
MIN_GUARANTEE = 1e-6


@dataclasses.dataclass(slots=True, eq=False)
class KindAccount:
    """Hold what a kind has booked and what is kept for it.

    `peak` and `trough` are the most and the least it held lately; idle
    guarantee beyond the peak and some of their distance is lent to other
    kinds; `fraction` is what it holds of its bound dimension and
    `standing` that over its guarantee.
    """

    share: base.KindShare
    held: _vector.Vector = _vector.ZERO
    running: int = 0
    peak: _vector.Vector = _vector.ZERO
    peak_at: float = 0.0
    trough: _vector.Vector = _vector.ZERO

    guarantee: _vector.Vector = _vector.ZERO
    ceiling: _vector.Vector = _vector.ZERO
    idle: _vector.Vector = _vector.ZERO

    capacity: _vector.Vector = _vector.ZERO
    fraction: float = 0.0
    standing: float = 0.0

    @property
    def on_accelerators(self) -> bool:
        """Tell whether the kind has used accelerators lately."""
        return self.peak[_vector.ACCELERATORS] > 0

    def set_capacity(self, capacity: _vector.Vector) -> None:
        """Work out what the shares mean for a new capacity."""
        self.capacity = capacity
        self.guarantee = _vector.scale(capacity, self.share.guarantee)
        self.ceiling = _vector.scale(capacity, self.share.ceiling)

    def refresh(self, now: float) -> None:
        """Work out what is kept: the peak fades, and rises with use."""
        age = max(0.0, now - self.peak_at)
        if age >= PEAK_STEP_S:
            fade = 0.5 ** (age / PEAK_HALF_LIFE_S)
            self.peak = _vector.scale(self.peak, fade)
            above = _vector.sub(self.held, self.trough)
            gone = _vector.scale(above, fade**TROUGH_SPEED)
            self.trough = _vector.sub(self.held, gone)
            self.peak_at = now
        self.peak = _vector.most(self.peak, self.held)
        self.trough = _vector.least(self.trough, self.held)
        kept = self.guarantee
        if self.share.lendable:
            span = _vector.sub(self.peak, self.trough)
            room = _vector.scale(span, PEAK_HEADROOM)
            wanted = _vector.add(self.peak, room)
            kept = _vector.least(wanted, kept)
        self.idle = _vector.positive(_vector.sub(kept, self.held))
        self.fraction = _vector.dominant(self.held, self.capacity)
        least = max(self.share.guarantee, MIN_GUARANTEE)
        self.standing = self.fraction / least


class Accounts:
    """Count held amounts by kind, by team and by team within a kind."""

    def __init__(self, reserve: _reserve.Reserve) -> None:
        self.reserve = reserve
        self.kinds: dict[str, KindAccount] = {}
        self.quotas: dict[str, base.TeamQuota] = {}
        self._configured: frozenset[str] = frozenset()
        self.capacity = _vector.ZERO
        self.held = _vector.ZERO
        self._idle = _vector.ZERO
        self._faded_at = float('-inf')
        self._teams: dict[str, _vector.Vector] = {}
        self._parts: dict[tuple[str, str], _vector.Vector] = {}
        self._shares: dict[tuple[str, str], float] = {}
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
        self.set_capacity(self.capacity)

    def set_capacity(self, capacity: _vector.Vector) -> None:
        """Take the capacity that shares are fractions of."""
        self.capacity = capacity
        for account in self.kinds.values():
            account.set_capacity(capacity)
        self._shares = {
            key: self._weighted(key[1], part)
            for key, part in self._parts.items()
        }
        self.refresh(None)

    def pass_time(self, now: float) -> None:
        """Let recent peaks fade."""
        if now - self._faded_at >= PEAK_STEP_S:
            self._faded_at = now
            self.refresh(now)

    def refresh(self, now: float | None) -> None:
        """Work out anew what is kept for each kind."""
        self._idle = _vector.ZERO
        for account in self.kinds.values():
            account.refresh(account.peak_at if now is None else now)
            self._idle = _vector.add(self._idle, account.idle)

    def _refresh_kind(self, account: KindAccount) -> None:
        others = _vector.sub(self._idle, account.idle)
        account.refresh(account.peak_at)
        self._idle = _vector.add(others, account.idle)

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

    def take(self, kind: str, team: str, need: _vector.Vector) -> None:
        """Count a booked task."""
        account = self.kind(kind)
        account.held = _vector.add(account.held, need)
        account.running += 1
        self._refresh_kind(account)
        self._count(kind, team, need)
        self.running[team] += 1

    def give(self, kind: str, team: str, need: _vector.Vector) -> None:
        """Uncount a task that holds nothing any more."""
        account = self.kind(kind)
        account.held = _vector.sub(account.held, need)
        account.running -= 1
        self._refresh_kind(account)
        self._count(kind, team, _vector.scale(need, -1))
        self.running[team] -= 1

    def _count(self, kind: str, team: str, need: _vector.Vector) -> None:
        self.held = _vector.add(self.held, need)
        team_held = self._teams.get(team, _vector.ZERO)
        self._teams[team] = _vector.add(team_held, need)
        part = self._parts.get((kind, team), _vector.ZERO)
        part = _vector.add(part, need)
        self._parts[kind, team] = part
        self._shares[kind, team] = self._weighted(team, part)

    def _weighted(self, team: str, part: _vector.Vector) -> float:
        return _vector.dominant(part, self.capacity) / self.weight(team)

    def team_share(self, kind: str, team: str) -> float:
        """Return the weighted dominant share of a team within a kind."""
        return self._shares.get((kind, team), 0.0)

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

    def standing(self, kind: str) -> float:
        """Return held over guaranteed; 0 means nothing held."""
        return self.kind(kind).standing

    def allowances(self, kind: str) -> tuple[_vector.Vector, _vector.Vector]:
        """Return what a kind may hold more: guaranteed, and borrowed.

        A demand that fits into either may start. Below its guarantee a
        kind may go beyond it with one more task or gang. What is borrowed
        stays below the ceiling and leaves what other kinds have used of
        their guarantee lately.
        """
        account = self.kind(kind)
        guaranteed = _vector.sub(account.guarantee, account.held)
        ceiling = _vector.sub(account.ceiling, account.held)
        if account.standing < 1.0 and account.share.guarantee > 0:
            return guaranteed, ceiling
        return guaranteed, _vector.least(ceiling, self._lent(account))

    def _lent(self, borrower: KindAccount) -> _vector.Vector:
        """Return what may be lent while what is kept still fits.

        Work on accelerators and other work don't take each other's room:
        what accelerators need beside them is kept anyway.
        """
        room = _vector.sub(self.capacity, self.held)
        kept = _vector.ZERO
        for name, account in self.kinds.items():
            alike = account.on_accelerators == borrower.on_accelerators
            if not alike or account is borrower:
                continue
            if account.idle != _vector.ZERO:
                kept = _vector.add(kept, account.idle)
                spare = self.reserve.lendable(name, account.idle)
                room = _vector.least(room, spare)
        free = _vector.sub(self.capacity, _vector.add(self.held, kept))
        return _vector.least(room, free)

    def may_hold(self, kind: str, need: _vector.Vector) -> bool:
        """Tell whether shares let a kind hold `need` more."""
        guaranteed, borrowed = self.allowances(kind)
        return _vector.fits(need, guaranteed) or _vector.fits(need, borrowed)

    def could_hold(
        self, kind: str, team: str, need: _vector.Vector, fraction: float
    ) -> bool:
        """Tell whether `need` fits a kind and a team that hold nothing."""
        if not _vector.fits(need, self.kind(kind).ceiling):
            return False
        quota = self.quotas.get(team)
        if quota is None:
            return True
        part = _vector.scale(_vector.of(quota.limit), fraction)
        return _vector.fits(need, part)

    def below_ceiling(self, kind: str, need: _vector.Vector) -> bool:
        """Tell whether a kind may hold `need` more by its ceiling."""
        account = self.kind(kind)
        after = _vector.add(account.held, need)
        return _vector.fits(after, account.ceiling)
