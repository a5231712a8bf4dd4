"""Check that an endpoint that was paused starts nothing too late.

Start requests that were sent to a frozen endpoint must have expired by the
time it resumes, as their host counts those leases as expired.
"""

import curio

from hibiscusslip.node import endpoint_driver
from hibiscusslip.standin import faults
from hibiscusslip.standin import memory_endpoint
from hibiscusslip.standin import workers
from tests import test_endpoint_http as samples


class FakeEngine:
    """Ignore all reports of a driver."""

    endpoints = {}

    def __getattr__(self, name):
        return lambda *args: None


class FakeShard:
    """Always hold the lease; ignore wake-ups."""

    engine = FakeEngine()
    worker_lease = 1.0
    settle = 0.1
    tracer = None
    supervisor = None

    def may_act(self, now):
        return True

    async def wake(self):
        pass


def test_start_request_to_a_frozen_endpoint_has_expired_when_it_resumes():
    """The host counts the lease of that start as expired by then."""

    async def scenario():
        fleet = workers.Fleet()
        pump = memory_endpoint.FleetPump(fleet)
        worker = samples.add_worker(fleet)
        endpoint = memory_endpoint.MemoryEndpoint(worker, pump)
        driver = endpoint_driver.EndpointDriver(
            worker.info, endpoint, FakeShard()
        )
        await driver._list_runs()
        await endpoint.set_faults(faults.WorkerFaults(frozen=True))
        send_task = await curio.spawn(
            driver._send, [samples.build_start_request()]
        )
        await curio.sleep(FakeShard.settle * 3)
        await endpoint.set_faults(faults.WorkerFaults(frozen=False))
        await send_task.join()
        assert worker.list_runs().runs == []
        await driver._send([samples.build_start_request()])
        assert len(worker.list_runs().runs) == 1

    curio.run(scenario)
