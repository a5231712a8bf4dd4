"""Account for what each kind of work and each team holds."""

import collections
import dataclasses

from hibiscusslip.model import fair_share
from hibiscusslip.scheduler import _fit_counts
from hibiscusslip.scheduler import _vector
from hibiscusslip.scheduler import base

PEAK_HALF_LIFE_S = 60.0
PEAK_HEADROOM_FRACTION = 0.25
TROUGH_DECAY_FACTOR = 4
PEAK_UPDATE_INTERVAL_S = 1.0
MIN_GUARANTEE = 1e-6


@dataclasses.dataclass(slots=True, eq=False)
class KindAccount:
    """Represent what a kind holds and what is reserved for it.

    `peak` and `trough` are the most and the least it held lately, with
    exponential decay. `reserved` is the idle part of the guarantee up to the
    peak plus a headroom for fluctuations; the rest of the guarantee is lent to
    other kinds. `dominant_share` is the fraction it holds of its dominant
    resource, `guarantee_ratio` that share over the guarantee.
    """

    share: base.KindShare
    held: _vector.Vector = _vector.ZERO
    running: int = 0
    peak: _vector.Vector = _vector.ZERO
    peak_updated_at: float = 0.0
    trough: _vector.Vector = _vector.ZERO

    guarantee: _vector.Vector = _vector.ZERO
    ceiling: _vector.Vector = _vector.ZERO
    reserved: _vector.Vector = _vector.ZERO

    capacity: _vector.Vector = _vector.ZERO
    dominant_share: float = 0.0
    guarantee_ratio: float = 0.0

    @property
    def uses_accelerators(self) -> bool:
        """Return True if the kind has held accelerators lately."""
        return self.peak[_vector.ACCELERATORS] > 0

    def set_capacity(self, capacity: _vector.Vector) -> None:
        """Recompute the guarantee and the ceiling for a new capacity."""
        self.capacity = capacity
        self.guarantee = _vector.scale(capacity, self.share.guarantee)
        self.ceiling = _vector.scale(capacity, self.share.ceiling)

    def refresh(self, now: float) -> None:
        """Decay the peak and the trough; recompute what is reserved."""
        age = max(0.0, now - self.peak_updated_at)
        if age >= PEAK_UPDATE_INTERVAL_S:
            decay = 0.5 ** (age / PEAK_HALF_LIFE_S)
            self.peak = _vector.scale(self.peak, decay)
            above = _vector.sub(self.held, self.trough)
            excess = _vector.scale(above, decay**TROUGH_DECAY_FACTOR)
            self.trough = _vector.sub(self.held, excess)
            self.peak_updated_at = now
        self.peak = _vector.maximum(self.peak, self.held)
        self.trough = _vector.minimum(self.trough, self.held)
        retained = self.guarantee
        if self.share.lendable:
            fluctuation = _vector.sub(self.peak, self.trough)
            headroom = _vector.scale(fluctuation, PEAK_HEADROOM_FRACTION)
            wanted = _vector.add(self.peak, headroom)
            retained = _vector.minimum(wanted, retained)
        self.reserved = _vector.clamp_negative(
            _vector.sub(retained, self.held)
        )
        self.dominant_share = fair_share.dominant_share(
            self.held, self.capacity
        )
        guarantee = max(self.share.guarantee, MIN_GUARANTEE)
        self.guarantee_ratio = self.dominant_share / guarantee


class Accounts:
    """Account for held amounts by kind, by team and by team within a kind."""

    def __init__(self, fit_counts: _fit_counts.FitCounts) -> None:
        self.fit_counts = fit_counts
        self.kinds: dict[str, KindAccount] = {}
        self.quotas: dict[str, base.TeamQuota] = {}
        self._configured_kinds: frozenset[str] = frozenset()
        self.capacity = _vector.ZERO
        self.held = _vector.ZERO
        self._reserved = _vector.ZERO
        self._decayed_at = float('-inf')
        self._held_by_team: dict[str, _vector.Vector] = {}
        self._held_by_kind_and_team: dict[tuple[str, str], _vector.Vector] = {}
        self._team_shares: dict[tuple[str, str], float] = {}
        self.running: collections.Counter[str] = collections.Counter()

    def set_policy(self, policy: base.FleetPolicy) -> None:
        """Apply new shares and quotas; what is held stays counted."""
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
        self._configured_kinds = frozenset(policy.shares)
        self.set_capacity(self.capacity)

    def set_capacity(self, capacity: _vector.Vector) -> None:
        """Set the capacity that the shares are fractions of."""
        self.capacity = capacity
        for account in self.kinds.values():
            account.set_capacity(capacity)
        self._team_shares = {
            key: self._weighted_share(key[1], part)
            for key, part in self._held_by_kind_and_team.items()
        }
        self.refresh(None)

    def decay_peaks(self, now: float) -> None:
        """Decay the recent peaks of all kinds."""
        if now - self._decayed_at >= PEAK_UPDATE_INTERVAL_S:
            self._decayed_at = now
            self.refresh(now)

    def refresh(self, now: float | None) -> None:
        """Recompute what is reserved for each kind.

        Without `now` the peaks don't decay.
        """
        self._reserved = _vector.ZERO
        for account in self.kinds.values():
            account.refresh(account.peak_updated_at if now is None else now)
            self._reserved = _vector.add(self._reserved, account.reserved)

    def _refresh_kind(self, account: KindAccount) -> None:
        reserved_for_others = _vector.sub(self._reserved, account.reserved)
        account.refresh(account.peak_updated_at)
        self._reserved = _vector.add(reserved_for_others, account.reserved)

    def is_configured(self, name: str) -> bool:
        """Return True if the configuration has a share for a kind."""
        return name in self._configured_kinds

    def configured_kinds(self) -> list[str]:
        """Return the kinds of the configuration, sorted."""
        return sorted(self._configured_kinds)

    def kind(self, name: str) -> KindAccount:
        """Return a kind's account, with a share of zero if it is unknown."""
        account = self.kinds.get(name)
        if account is None:
            account = KindAccount(base.KindShare(name, 0.0, 0.0))
            self.kinds[name] = account
        return account

    def allocate(self, kind: str, team: str, need: _vector.Vector) -> None:
        """Count the allocation of one task."""
        account = self.kind(kind)
        account.held = _vector.add(account.held, need)
        account.running += 1
        self._refresh_kind(account)
        self._add_held(kind, team, need)
        self.running[team] += 1

    def release(self, kind: str, team: str, need: _vector.Vector) -> None:
        """Uncount the allocation of one task."""
        account = self.kind(kind)
        account.held = _vector.sub(account.held, need)
        account.running -= 1
        self._refresh_kind(account)
        self._add_held(kind, team, _vector.scale(need, -1))
        self.running[team] -= 1

    def _add_held(self, kind: str, team: str, need: _vector.Vector) -> None:
        self.held = _vector.add(self.held, need)
        team_held = self._held_by_team.get(team, _vector.ZERO)
        self._held_by_team[team] = _vector.add(team_held, need)
        part = self._held_by_kind_and_team.get((kind, team), _vector.ZERO)
        part = _vector.add(part, need)
        self._held_by_kind_and_team[kind, team] = part
        self._team_shares[kind, team] = self._weighted_share(team, part)

    def _weighted_share(self, team: str, part: _vector.Vector) -> float:
        return fair_share.weighted_share(
            part, self.capacity, self.weight(team)
        )

    def team_share(self, kind: str, team: str) -> float:
        """Return the weighted dominant share of a team within a kind."""
        return self._team_shares.get((kind, team), 0.0)

    def weight(self, team: str) -> float:
        """Return the weight of a team."""
        quota = self.quotas.get(team)
        return max(quota.weight, 1e-6) if quota else 1.0

    def within_quota(
        self, team: str, need: _vector.Vector, fraction: float
    ) -> bool:
        """Return True if a team may hold `need` more on this shard.

        `fraction` is the part of each quota that this shard may allocate. A
        team that holds nothing may always start one task that its whole quota
        admits, however small that part is.
        """
        quota = self.quotas.get(team)
        if quota is None:
            return True
        quota_limit = _vector.from_resources(quota.limit)
        held = self._held_by_team.get(team, _vector.ZERO)
        if self.running[team] == 0:
            return _vector.fits(need, quota_limit)
        part = _vector.scale(quota_limit, fraction)
        return _vector.fits(_vector.add(held, need), part)

    def guarantee_ratio(self, kind: str) -> float:
        """Return a kind's dominant share over its guarantee."""
        return self.kind(kind).guarantee_ratio

    def allowances(self, kind: str) -> tuple[_vector.Vector, _vector.Vector]:
        """Return how much more a kind may hold: guaranteed, and borrowed.

        A demand that fits either may start. A kind below its guarantee may
        exceed it by one more task or gang. The borrowed part stays below the
        ceiling and leaves other kinds what they have used of their guarantee
        lately.
        """
        account = self.kind(kind)
        guaranteed = _vector.sub(account.guarantee, account.held)
        ceiling = _vector.sub(account.ceiling, account.held)
        if account.guarantee_ratio < 1.0 and account.share.guarantee > 0:
            return guaranteed, ceiling
        return guaranteed, _vector.minimum(ceiling, self._borrowable(account))

    def _borrowable(self, borrower: KindAccount) -> _vector.Vector:
        """Return what a kind may borrow so that reserved amounts still fit.

        Kinds that use accelerators and kinds that don't are not counted
        against each other: what work on free accelerators needs is reserved
        anyway, on each endpoint.
        """
        available = _vector.sub(self.capacity, self.held)
        retained = _vector.ZERO
        for name, account in self.kinds.items():
            same_class = (
                account.uses_accelerators == borrower.uses_accelerators
            )
            if not same_class or account is borrower:
                continue
            if account.reserved != _vector.ZERO:
                retained = _vector.add(retained, account.reserved)
                spare = self.fit_counts.lendable(name, account.reserved)
                available = _vector.minimum(available, spare)
        free = _vector.sub(self.capacity, _vector.add(self.held, retained))
        return _vector.minimum(available, free)

    def within_shares(self, kind: str, need: _vector.Vector) -> bool:
        """Return True if the shares let a kind hold `need` more."""
        guaranteed, borrowed = self.allowances(kind)
        return _vector.fits(need, guaranteed) or _vector.fits(need, borrowed)

    def could_ever_hold(
        self, kind: str, team: str, need: _vector.Vector, fraction: float
    ) -> bool:
        """Return True if `need` fits a kind and a team that hold nothing."""
        if not _vector.fits(need, self.kind(kind).ceiling):
            return False
        quota = self.quotas.get(team)
        if quota is None:
            return True
        part = _vector.scale(_vector.from_resources(quota.limit), fraction)
        return _vector.fits(need, part)

    def within_ceiling(self, kind: str, need: _vector.Vector) -> bool:
        """Return True if the ceiling lets a kind hold `need` more."""
        account = self.kind(kind)
        after = _vector.add(account.held, need)
        return _vector.fits(after, account.ceiling)
