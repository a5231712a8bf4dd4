"""Check retries of a request without a key while homes fail.

A home that can't be reached for a moment must be retried within the caller's
wait; a home that refused the request must not be.
"""

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
QUEUE_FULL = home_client.Failure(
    home_client.FailureKind.REFUSED, 'policy:queue_full', 'full', 1.0
)
UNREACHED = home_client.Failure(
    home_client.FailureKind.NOT_DELIVERED, 'NoAddress', 'no address', 1.0
)


class FakeHomeClient(home_client.HomeClient):
    """Return each home's planned failures first, then succeed."""

    def __init__(self, failures: dict[places.Shard, list]) -> None:
        self._failures = failures
        self.submitted_to: list[places.Shard] = []

    async def submit(self, host, shard, spec, wait):
        self.submitted_to.append(shard)
        failures = self._failures[shard]
        if failures:
            return result.Err(failures.pop(0))
        return result.Ok(view.JobView(spec.job_id, work.Outcome.SUCCEEDED))


def choose(spec, tried):
    """Return the first home that wasn't tried."""
    return next((home for home in HOMES if home not in tried), None)


def submit(client: FakeHomeClient, wait: float) -> view.JobView:
    """Submit a request without a key."""
    owners = directory.ShardDirectory(4, lambda shard: None)
    job_acceptor = acceptor.Acceptor(
        client, owners, lambda shard: 'h1', choose, random.Random(1)
    )
    return curio.run(job_acceptor.submit, SPEC, wait)


def test_unreachable_homes_are_retried():
    client = FakeHomeClient(
        {HOMES[0]: [UNREACHED, UNREACHED], HOMES[1]: [UNREACHED]}
    )
    assert submit(client, WAIT_S).outcome is work.Outcome.SUCCEEDED


def test_home_that_refused_is_not_retried():
    client = FakeHomeClient(
        {HOMES[0]: [QUEUE_FULL, QUEUE_FULL, QUEUE_FULL], HOMES[1]: [UNREACHED]}
    )
    assert submit(client, WAIT_S).outcome is work.Outcome.SUCCEEDED
    assert client.submitted_to.count(HOMES[0]) == 1


def test_refusal_by_all_homes_fails_without_retry():
    client = FakeHomeClient({home: [QUEUE_FULL] * 9 for home in HOMES})
    with pytest.raises(acceptor.RequestFailed) as raised:
        submit(client, WAIT_S)
    assert not raised.value.may_have_run
    assert len(client.submitted_to) == len(HOMES)


def test_zero_wait_tries_each_home_once():
    client = FakeHomeClient({home: [UNREACHED] * 9 for home in HOMES})
    with pytest.raises(acceptor.RequestFailed) as raised:
        submit(client, 0.0)
    assert not raised.value.may_have_run
    assert len(client.submitted_to) == len(HOMES)
