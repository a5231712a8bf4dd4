"""Check how a new owner spreads the first polls of its endpoints."""

import curio

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.host import context
from hibiscusslip.host import first_polls
from hibiscusslip.host import takeover
from tests.dispatch import support
from tests.host import fakes

NAMES = [f'e{number}' for number in range(3000)]


def test_up_to_600_endpoints_are_polled_at_once_in_their_order():
    """Else a deployment that works today gets work later."""
    assert takeover.plan_first_polls(NAMES[:600], {'e599'}, 1.0) == [
        NAMES[:600]
    ]


def test_endpoints_with_runs_are_polled_first_and_within_their_leases():
    """Polled in the order of their names, most lose their runs."""
    with_runs = set(NAMES[1::3])
    for rate in (80.0, 500.0, 1075.0):
        steps = takeover.plan_first_polls(NAMES, with_runs, rate)
        names = [name for step in steps for name in step]
        assert sorted(names) == sorted(NAMES)
        assert set(names[: len(with_runs)]) == with_runs
        last = next(
            i for i, step in enumerate(steps) if step[0] not in with_runs
        )
        assert last * takeover.STEP_S <= takeover.MAX_SPREAD_WITH_RUNS_S
        longest = takeover.MAX_SPREAD_WITH_RUNS_S + takeover.MAX_SPREAD_S
        assert len(steps) * takeover.STEP_S <= longest


def test_steps_suit_the_processor_and_the_link():
    """All at once, polls time out while they wait for either."""
    assert takeover.first_poll_rate(2.0, 1000.0) == 1000.0
    assert takeover.first_poll_rate(2.0, 5.0) < 400.0
    steps = takeover.plan_first_polls(NAMES, set(), 1000.0)
    assert max(len(step) for step in steps) == 50


def open_sessions(lose_at=None):
    """Open sessions with 700 endpoints; return those that were opened."""
    ctx = fakes.make_context(fakes.FakeStore())
    ctx.ownership.record_claim(1, context.monotonic())
    engine = engines.Engine(5.9)
    for name in NAMES[:700]:
        engine.register_endpoint(support.entry(name), context.monotonic())
    polls = first_polls.FirstPolls(ctx, 1)
    opened = []

    async def open_session(name):
        assert not polls.holds_back(name)
        assert polls.holds_back(NAMES[699]) == (len(opened) < 690)
        opened.append(name)
        if len(opened) == lose_at:
            ctx.ownership.lose()

    curio.run(polls.run, engine, open_session)
    assert not polls.holds_back(NAMES[699])
    return opened


def test_takeover_opens_each_session_once_and_in_its_turn(monkeypatch):
    """Entries that endpoints write would open all sessions before."""
    monkeypatch.setattr(takeover, 'STEP_S', 0.02)
    assert open_sessions() == NAMES[:700]


def test_takeover_ends_with_the_ownership():
    """Else two owners open connections to all endpoints."""
    assert len(open_sessions(lose_at=10)) < 100
