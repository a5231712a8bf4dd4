"""Serve both borders over fakes as a process; prints the two ports."""

import sys

import curio

from hibiscusslip.caller import handler as caller_handler
from hibiscusslip.caller import service as caller_service
import hibiscusslip.configuration as configuration
from hibiscusslip.http import server
from hibiscusslip.model import work
from hibiscusslip.operator import handler
from hibiscusslip.operator import service
from hibiscusslip.operator import signing
from hibiscusslip.operator import views
import hibiscusslip.sheet as sheet
from hibiscusslip.sheet import samples
from tests.caller import fakes as caller_fakes
from tests.operator import fakes

SECRET = b's' * 16


class Jobs(caller_fakes.FakeJobs):
    """End each job at once, by its kind."""

    async def submit(self, spec):
        """Return the outcome that the kind names."""
        outcome = work.Outcome(spec.kind)
        state = caller_service.JobState(
            spec.job_id, outcome, f'{outcome}; see why', answer=spec.payload
        )
        self.final[spec.job_id] = state
        return state


class Fleet(fakes.FakeFleet):
    """Come into force step by step, except on one host."""

    def __init__(self):
        super().__init__()
        self.version = 2
        self.drained = 0
        self.looked = 0

    async def status(self):
        """Return two hosts, one of them out of reach.

        The other is gone from the second look after its drain on.
        """
        live = views.HostCondition.LIVE
        if self.drained:
            self.drained += 1
            live = (
                views.HostCondition.UNREACHABLE if self.drained > 2 else live
            )
        shard = views.ShardView('a:1', 7, 3, 4)
        hosts = [
            views.HostView('h1', 'a', live, 'i', 3, shards=[shard]),
            views.HostView('h2', 'b', views.HostCondition.UNREACHABLE),
        ]
        return views.merge(3, 'ann', hosts)

    async def apply(self, proposal):
        """Accept what was made from the version in force."""
        current = await self.current()
        if proposal.made_from == 2:
            changes = sheet.diff(current.sheet, proposal.content)
            return configuration.VersionConflict(current, changes)
        self.version = 4
        return configuration.Accepted(4, 9)

    async def in_force(self):
        """Return one host that never follows when asked by `behind`."""
        behind = 3 if 'behind' in sys.argv else self.version
        return [
            service.HostVersion('h1', 'a', True, self.version),
            service.HostVersion('h2', 'b', False, behind),
        ]

    async def select(self, selector):
        """Return one job."""
        line = service.JobLine('j1', 'red', 'web', 'w', 'queued', 2, 5.0)
        return service.Selection(1, [line], [])

    async def drain_host(self, host):
        """Refuse to be asked twice."""
        assert not self.drained
        self.drained = 1
        return service.DrainState(host, False, 'stops')

    async def drain_endpoint(self, endpoint):
        """Be empty at the second look."""
        self.looked += 1
        left = 2 - self.looked
        return service.DrainState(endpoint, not left, f'{left} tasks left')

    async def current(self):
        """Return version 3, the sample of Estendal."""
        content = sheet.parse(samples.read('estendal'))
        return configuration.make_record('r', 2, 'bob', content, 0.0)


async def main():
    """Serve until killed."""
    jobs = caller_handler.CallerHandler(Jobs())
    fleet = handler.OperatorHandler(Fleet(), signing.Verifier({'k': SECRET}))
    async with curio.TaskGroup() as group:
        for border in (jobs, fleet):
            listener = server.Server(border)
            print(await listener.listen('127.0.0.1', 0), flush=True)
            await group.spawn(listener.serve)


if __name__ == '__main__':
    curio.run(main)
