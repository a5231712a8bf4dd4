"""Check what a request without a key gets while no home can be reached."""

import random

import curio
import pytest
import result

from hibiscusslip.jobs import view
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.node import acceptor
from hibiscusslip.node import home_client
from hibiscusslip.routing import directory

HOMES = [places.Shard('a', 0), places.Shard('a', 1)]
SPEC = work.JobSpec('', 'sales', 'quote')
WAIT_S = 2.0
FULL = home_client.Failure(
    home_client.FailureKind.REFUSED, 'policy:queue_full', 'full', 1.0
)
MISSED = home_client.Failure(
    home_client.FailureKind.NOT_DELIVERED, 'NoAddress', 'no address', 1.0
)


class Homes(home_client.HomeCalls):
    """Fail each home's first calls as told, then succeed."""

    def __init__(self, failures: dict[places.Shard, list]) -> None:
        self._failures = failures
        self.asked: list[places.Shard] = []

    async def submit(self, host, shard, spec, wait):
        self.asked.append(shard)
        failures = self._failures[shard]
        if failures:
            return result.Err(failures.pop(0))
        return result.Ok(view.JobView(spec.job_id, work.Outcome.SUCCEEDED))


def choose(spec, tried):
    """Return the first home that wasn't tried."""
    return next((home for home in HOMES if home not in tried), None)


def submit(homes: Homes, wait: float) -> view.JobView:
    """Submit a request without a key."""
    owners = directory.ShardDirectory(4, lambda shard: None)
    door = acceptor.Acceptor(
        homes, owners, lambda shard: 'h1', choose, random.Random(1)
    )
    return curio.run(door.submit, SPEC, wait)


def test_homes_missed_for_a_moment_are_asked_again():
    homes = Homes({HOMES[0]: [MISSED, MISSED], HOMES[1]: [MISSED]})
    assert submit(homes, WAIT_S).outcome is work.Outcome.SUCCEEDED


def test_a_home_that_refused_is_not_asked_again():
    homes = Homes({HOMES[0]: [FULL, FULL, FULL], HOMES[1]: [MISSED]})
    assert submit(homes, WAIT_S).outcome is work.Outcome.SUCCEEDED
    assert homes.asked.count(HOMES[0]) == 1


def test_refused_by_all_is_told_at_once():
    homes = Homes({home: [FULL] * 9 for home in HOMES})
    with pytest.raises(acceptor.RequestFailed) as told:
        submit(homes, WAIT_S)
    assert not told.value.may_have_run
    assert len(homes.asked) == len(HOMES)


def test_without_a_wait_nothing_is_asked_twice():
    homes = Homes({home: [MISSED] * 9 for home in HOMES})
    with pytest.raises(acceptor.RequestFailed) as told:
        submit(homes, 0.0)
    assert not told.value.may_have_run
    assert len(homes.asked) == len(HOMES)
