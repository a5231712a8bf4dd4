"""Rate the endpoints that the advice service may be asked about for a step."""

import collections.abc
import heapq
import typing

from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import placement
from hibiscusslip.dispatch import pool_rating
from hibiscusslip.dispatch import preferences
from hibiscusslip.dispatch import state

FULL_WEIGHT = 0.1  # of capacity that is allocated to others now
ELIGIBLE = 1.0  # the chance of an endpoint that the advice has admitted
ROUNDING = 1e-9  # relative; exceeds that of the sum over a pool


class Prospect(typing.NamedTuple):
    """An endpoint's chance of being eligible and its capacity, in tasks.

    `number` is its place in the pool. The best prospects come first in the
    order of the fields.
    """

    far: bool
    negated_expected: float
    negated_chance: float
    speed_rank: int
    number: int
    tasks: float

    @property
    def chance(self) -> float:
        """Return the chance of being eligible."""
        return -self.negated_chance


class Group(typing.NamedTuple):
    """Group endpoints of one capacity, in tasks, by their place."""

    far: bool
    zone: str
    tasks: float
    numbers: list[int]


class Prospects:
    """The prospects of a step, the best first.

    Those that the advice service wasn't asked about have the same chance, so
    they come in groups of equal capacity. Only the few that are known to be
    eligible are rated one by one.
    """

    def __init__(
        self,
        step: state.StepState,
        candidates: candidate_pool.Candidates,
        share: float,
        excluded: str,
        preference: preferences.Preference,
    ) -> None:
        self._step = step
        self._candidates = candidates
        self._share = share
        self._excluded = excluded
        self._preference = preference
        self._rating = candidates.rate(step.spec.demand, step.spec.label)
        self._spread = placement.max_spread(step)
        self._groups = [
            group
            for fit, numbers in self._rating.groups.items()
            for group in self._split_by_rack(fit, numbers)
        ]
        self._eligible = sorted(self._rate_eligible())

    def in_order(self) -> collections.abc.Iterator[Prospect]:
        """Yield all prospects."""
        return heapq.merge(self._unasked(self._groups), self._eligible)

    def eligible_in_order(self) -> collections.abc.Iterator[Prospect]:
        """Yield the prospects that are certainly eligible."""
        if self._share == ELIGIBLE:
            return self.in_order()
        return iter(self._eligible)

    def by_zone(self) -> dict[str, 'ZoneProspects']:
        """Return the prospects of each zone that aren't far."""
        zones: dict[str, ZoneProspects] = {}
        for group in self._groups:
            if not group.far:
                zone = zones.setdefault(group.zone, ZoneProspects([], []))
                zone.groups.append(group)
        for prospect in self._eligible:
            if not prospect.far:
                zones[self._zone_of(prospect)].eligible.append(prospect)
        return zones

    def in_order_of(
        self, zone: 'ZoneProspects'
    ) -> collections.abc.Iterator[Prospect]:
        """Yield the prospects of one zone."""
        return heapq.merge(self._unasked(zone.groups), zone.eligible)

    def may_suffice(self, zone: 'ZoneProspects', tasks: float) -> bool:
        """Return False if the zone's expected capacity is below `tasks`.

        A cheap check, which counts endpoints that were asked about as well.
        """
        mean = sum(
            self._share * group.tasks * len(group.numbers)
            for group in zone.groups
        ) + sum(prospect.tasks for prospect in zone.eligible)
        return mean * (1.0 + ROUNDING) >= tasks

    def name_of(self, prospect: Prospect) -> str:
        """Return the name of a prospect's endpoint."""
        return self._candidates.pool[prospect.number].name

    def _zone_of(self, prospect: Prospect) -> str:
        fit = self._rating.fit(prospect.number)
        assert fit is not None
        return fit.zone

    def _split_by_rack(
        self, fit: pool_rating.Fit, numbers: list[int]
    ) -> list[Group]:
        tasks = self._tasks(fit)
        if not self._step.spec.rack:
            return [Group(False, fit.zone, tasks, numbers)]
        parts: dict[bool, list[int]] = {False: [], True: []}
        for number in numbers:
            parts[self._is_far(number)].append(number)
        return [
            Group(far, fit.zone, tasks, part)
            for far, part in parts.items()
            if part
        ]

    def _is_far(self, number: int) -> bool:
        rack = self._step.spec.rack
        entry = self._candidates.pool[number].entry
        return bool(rack) and entry is not None and rack != entry.rack

    def _tasks(self, fit: pool_rating.Fit) -> float:
        free = min(fit.free, self._spread)
        total = min(fit.total, self._spread)
        return free + FULL_WEIGHT * (total - free)

    def _rate_eligible(self) -> collections.abc.Iterator[Prospect]:
        for name in self._step.eligible:
            number = self._candidates.number_of(name)
            if number is None or name == self._excluded:
                continue
            fit = self._rating.fit(number)
            if fit is not None:
                tasks = self._tasks(fit)
                yield Prospect(
                    self._is_far(number),
                    -ELIGIBLE * tasks,
                    -ELIGIBLE,
                    self._speed_rank(number),
                    number,
                    tasks,
                )

    def _speed_rank(self, number: int) -> int:
        """Return the rank of a speed; only those of usable ones are known."""
        candidate = self._candidates.listed(number)
        if not candidate.usable:
            return 0
        return self._preference.speed_rank(candidate)

    def _unasked(
        self, groups: list[Group]
    ) -> collections.abc.Iterator[Prospect]:
        """Yield the prospects in groups that weren't asked about.

        Groups of equal capacity are merged, as their order is that of the
        pool. The preferred speeds come first.
        """
        ranks: dict[tuple[bool, float], list[Group]] = {}
        for group in groups:
            expected = self._share * group.tasks
            ranks.setdefault((group.far, -expected), []).append(group)
        for (far, negated_expected), members in sorted(ranks.items()):
            merged = heapq.merge(*map(_numbered, members))
            for speed_rank, number, tasks in self._rank_by_speed(merged):
                if self._is_unasked(number):
                    yield Prospect(
                        far,
                        negated_expected,
                        -self._share,
                        speed_rank,
                        number,
                        tasks,
                    )

    def _rank_by_speed(
        self, members: collections.abc.Iterable[tuple[int, float]]
    ) -> collections.abc.Iterator[tuple[int, int, float]]:
        """Yield endpoints of equal capacity with the ranks of their speeds.

        The order of those of one rank stays the same.
        """
        if not self._preference.considers_speed:
            for number, tasks in members:
                yield 0, number, tasks
            return
        ranks: dict[int, list[tuple[int, float]]] = {}
        for member in members:
            rank = self._speed_rank(member[0])
            ranks.setdefault(rank, []).append(member)
        for rank in sorted(ranks):
            for number, tasks in ranks[rank]:
                yield rank, number, tasks

    def _is_unasked(self, number: int) -> bool:
        name = self._candidates.pool[number].name
        return (
            name not in self._step.asked_about
            and name not in self._step.eligible
            and name != self._excluded
        )


class ZoneProspects(typing.NamedTuple):
    """The prospects of one zone."""

    groups: list[Group]
    eligible: list[Prospect]


def _numbered(group: Group) -> collections.abc.Iterator[tuple[int, float]]:
    return ((number, group.tasks) for number in group.numbers)
