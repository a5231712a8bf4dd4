"""Decide which waiting tasks to start on which endpoints."""

import collections.abc
import typing

from hibiscusslip.dispatch import _copy_starts
from hibiscusslip.dispatch import _learned_planning
from hibiscusslip.dispatch import _scheduling_pass
from hibiscusslip.dispatch import _step_planning
from hibiscusslip.dispatch import _suspicion
from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import ordering
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

RANKED_IN_PIECE = 200  # steps


class Planning:
    """Start the tasks that fit, in order of their steps' ranks.

    One scheduling pass, in pieces: between them other work may change the
    engine, after which `refresh` is called. Each piece looks at one step, or
    ranks a few.
    """

    def __init__(self, engine: 'engines.Engine', now: float) -> None:
        self._engine = engine
        self._current = _begin_pass(engine, now)
        self._pieces = self._make_pieces()

    def advance(self, now: float) -> bool:
        """Make the next piece; return False if there is none."""
        self._current.now = now
        return next(self._pieces, False)

    def refresh(self, now: float) -> None:
        """Apply what other work has changed since the last piece."""
        self._current.now = now
        _update_pass(self._current)

    def _make_pieces(self) -> collections.abc.Iterator[bool]:
        engine, current = self._engine, self._current
        if engine.estimates.learns:
            _learned_planning.update_learned(current)
        ranked: list[tuple[ordering.Rank, state.StepState]] = []
        steps = list(engine.active_steps.values())
        for first in range(0, len(steps), RANKED_IN_PIECE):
            piece = steps[first : first + RANKED_IN_PIECE]
            ranked += _rank_steps(engine, piece, current.now)
            yield True
        ranked.sort(key=lambda pair: pair[0])
        engine.limiter.begin_pass(engine.config, (step for _, step in ranked))
        for rank, step in ranked:
            may_continue = True
            while may_continue and engine.starts_left > 0:
                may_continue = _may_plan(
                    current, step
                ) and _step_planning.plan_ranked(current, step, rank)
                yield True
        self._finish(ranked)

    def _finish(
        self, ranked: list[tuple[ordering.Rank, state.StepState]]
    ) -> None:
        engine, current = self._engine, self._current
        if engine.policy.urgent_preemption:
            current.preempting.preempt(
                engine, current.services, current.candidates, current.now
            )
        if engine.policy.copies:
            _copy_starts.plan_copies(current)
        _learned_planning.update_forecast(current, ranked)


def _begin_pass(engine: 'engines.Engine', now: float) -> _scheduling_pass.Pass:
    current = _scheduling_pass.Pass(engine, {}, {}, now)
    _update_pass(current)
    return current


def _update_pass(current: _scheduling_pass.Pass) -> None:
    """Update the candidates of all services and what may be used of them."""
    engine, now = current.engine, current.now
    services = engine.pools()
    suspicions = _suspicion.Suspicions(engine.endpoints.values(), now)
    candidates = {
        name: engine.candidates.get(name) or candidate_pool.Candidates()
        for name in services
    }
    engine.candidates = candidates
    current.services = services
    current.candidates = candidates
    for name, pool in services.items():
        candidates[name].update(pool, suspicions, now)
    _scheduling_pass.compute_spare(current)
    _scheduling_pass.find_half_free(current)
    for service in services:
        entries = (c.entry for c in candidates[service].all)
        engine.shares.update(engine.config, service, entries, now)


def _may_plan(current: _scheduling_pass.Pass, step: state.StepState) -> bool:
    """Return False if a step that was ranked has ended, or has no pool."""
    if step.job.service not in current.services:
        return False
    if step.job.state.final or not step.has_waiting():
        return False
    return current.engine.active_steps.get(step.name) is step


def _rank_steps(
    engine: 'engines.Engine', steps: list[state.StepState], now: float
) -> list[tuple[ordering.Rank, state.StepState]]:
    """Return those of the steps that wait, each with its rank."""
    ranked = []
    for step in steps:
        job = step.job
        if job.state.final or not step.has_waiting() or job.progress_unknown:
            continue
        if job.holding is not None:
            job.holding.wanted_at = now
        queue = engine.queue_of(job)
        rank = ordering.rank(
            step,
            engine.estimates.objective(job, queue),
            engine.estimates.critical_path(job, step.number),
            queue.priority,
            now,
        )
        ranked.append((rank, step))
    return ranked
