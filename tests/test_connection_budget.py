"""Check that idle connections are bounded over all pools of a host."""

import errno

import curio
import pytest

from hibiscusslip.http import client
from hibiscusslip.http import connection_budget
from hibiscusslip.http import exceptions
from hibiscusslip.platform import endpoint_client
from tests.faults import serving

CALLS = 5


async def call_at_once(pool):
    async with curio.TaskGroup() as group:
        for _ in range(CALLS):
            await group.spawn(pool_call, pool)


async def pool_call(pool):
    return await pool.call('GET', '/x', timeout=4.0)


@pytest.mark.parametrize(('limit', 'kept'), [(0, 1), (3, 3), (100, CALLS)])
def test_idle_connections_beyond_the_budget_are_closed(limit, kept):
    """Guards against descriptors that run out after a burst of requests."""

    async def scenario():
        budget = connection_budget.ConnectionBudget(limit)
        async with serving.run_server(serving.Echo()) as (_, port):
            pool = client.Pool(
                '127.0.0.1', port, max_connections=CALLS, budget=budget
            )
            await call_at_once(pool)
            assert budget.open == kept
            await pool_call(pool)
            assert budget.open == kept
            await pool.close()
            assert budget.open == 0

    serving.run(scenario)


def test_failed_call_leaves_the_budget():
    """Else the budget of a host would shrink with each failure."""

    async def scenario():
        budget = connection_budget.ConnectionBudget(10)
        async with serving.run_server(serving.Echo()) as (_, port):
            pool = client.Pool('127.0.0.1', port, budget=budget)
            task = await curio.spawn(pool_call, pool)
            await curio.sleep(0)
            await task.cancel()
            assert budget.open == 0
            await pool.close()

    serving.run(scenario)


def test_full_budget_opens_no_connection_and_keeps_none():
    """Else the store and the peers have no descriptors left."""

    async def scenario():
        budget = connection_budget.ConnectionBudget(0, 1)
        async with serving.run_server(serving.Echo()) as (_, port):
            pool = client.Pool('127.0.0.1', port, budget=budget)
            await pool_call(pool)
            assert budget.open == 0
            budget.open = 1
            with pytest.raises(exceptions.OutOfDescriptors):
                await pool_call(pool)
            assert budget.open == 1
            await pool.close()

    serving.run(scenario)


def test_call_without_a_descriptor_isnt_sent(monkeypatch):
    """A bare OSError ended the loops of the owner and of the host."""

    def create(family, kind):
        raise OSError(errno.EMFILE, 'Too many open files')

    async def scenario():
        budget = connection_budget.ConnectionBudget(10, 10)
        pool = client.Pool('127.0.0.1', 9, budget=budget)
        monkeypatch.setattr(curio.socket, 'socket', create)
        with pytest.raises(exceptions.OutOfDescriptors):
            await pool_call(pool)
        monkeypatch.undo()
        assert budget.open == 0

    serving.run(scenario)


def test_connections_of_ten_lost_owners_leave_room_for_the_next():
    """Guards against endpoints that reset a new owner's calls (review/6).

    A host that loses power closes none of its connections.
    """
    accepted_by_an_endpoint = 64  # `MaxConns` in the users' configurations
    owners = 1 + 10
    assert owners * endpoint_client.CONNECTIONS <= accepted_by_an_endpoint
