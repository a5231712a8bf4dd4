"""Stand in for the node behind the operators' border."""

import hibiscusslip.configuration as configuration
from hibiscusslip.operator import service
from hibiscusslip.operator import views
import hibiscusslip.sheet as sheet
from hibiscusslip.sheet import samples


class FakeFleet(service.FleetService):
    """Answer as told and remember what was asked."""

    def __init__(self):
        self.asked = []
        self.publication = configuration.Accepted(3, 7)
        self.error = None

    async def status(self):
        return views.merge(3, 'ann', [])

    async def history(self, limit):
        self.asked.append(limit)
        return [service.Event(1.0, 'h1', 'took over a:1', 'h2 died')]

    async def drain_host(self, host):
        self.asked.append(host)
        if self.error:
            raise self.error
        return service.DrainState(host, False, 'handing 2 shards over')

    async def drain_endpoint(self, endpoint):
        self.asked.append(endpoint)
        return service.DrainState(endpoint, True, 'empty')

    async def select(self, selector):
        self.asked.append(selector)
        return service.Selection(0, [], ['h2'])

    async def cancel(self, selector, at_most):
        self.asked.append((selector, at_most))
        return service.Cancellation(2, [])

    async def explain(self, job_id):
        return ['queued', f'{job_id} waits']

    async def current(self):
        content = sheet.parse(samples.read('estendal'))
        return configuration.make_record('r1', 2, 'ann', content, 5000.0)

    async def apply(self, proposal):
        self.asked.append(proposal)
        return self.publication

    async def config_versions(self):
        return [service.HostConfigVersion('h1', 'a', True, 3)]
