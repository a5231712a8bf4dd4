"""Fake the fleet service behind the operators' API."""

import hibiscusslip.configuration as configuration
from hibiscusslip.operator import service
from hibiscusslip.operator import views
import hibiscusslip.sheet as sheet
from hibiscusslip.sheet import samples


class FakeFleet(service.FleetService):
    """Return preset values, and record the arguments of the calls.

    `drain_host` raises `error` if it is set.
    """

    def __init__(self):
        self.calls = []
        self.publication = configuration.Accepted(3, 7)
        self.error = None

    async def status(self):
        return views.merge(3, 'ann', [])

    async def history(self, limit):
        self.calls.append(limit)
        return [service.Event(1.0, 'h1', 'took over a:1', 'h2 died')]

    async def drain_host(self, host):
        self.calls.append(host)
        if self.error:
            raise self.error
        return service.DrainState(host, False, 'handing 2 shards over')

    async def drain_endpoint(self, endpoint):
        self.calls.append(endpoint)
        return service.DrainState(endpoint, True, 'empty')

    async def select(self, selector):
        self.calls.append(selector)
        return service.Selection(0, [], ['h2'])

    async def cancel(self, selector, at_most):
        self.calls.append((selector, at_most))
        return service.Cancellation(2, [])

    async def explain(self, job_id):
        return ['queued', f'{job_id} waits']

    async def current(self):
        content = sheet.parse(samples.read('estendal'))
        return configuration.make_record('r1', 2, 'ann', content, 5000.0)

    async def apply(self, proposal):
        self.calls.append(proposal)
        return self.publication

    async def config_versions(self):
        return [service.HostConfigVersion('h1', 'a', True, 3)]
