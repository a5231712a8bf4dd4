"""Serve the callers' and operators' APIs over fakes and print the ports."""

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
    """Complete each job at once with the outcome that its kind names."""

    async def submit(self, spec):
        """Complete the job and return its state."""
        outcome = work.Outcome(spec.kind)
        state = caller_service.JobState(
            spec.job_id, outcome, f'{outcome}; see why', answer=spec.payload
        )
        self.states[spec.job_id] = state
        return state


class Fleet(fakes.FakeFleet):
    """Simulate a fleet of two hosts, one of which is unreachable."""

    def __init__(self):
        super().__init__()
        self.version = 2
        self.polls_after_drain = 0
        self.endpoint_polls = 0

    async def status(self):
        """Return two hosts, one of them unreachable.

        The other becomes unreachable at the second poll after its drain.
        """
        condition = views.HostCondition.LIVE
        if self.polls_after_drain:
            self.polls_after_drain += 1
            condition = (
                views.HostCondition.UNREACHABLE
                if self.polls_after_drain > 2
                else condition
            )
        shard = views.ShardView('a:1', 7, 3, 4)
        hosts = [
            views.HostView('h1', 'a', condition, 'i', 3, shards=[shard]),
            views.HostView('h2', 'b', views.HostCondition.UNREACHABLE),
        ]
        return views.merge(3, 'ann', hosts)

    async def apply(self, proposal):
        """Accept a sheet, unless it was made from the outdated version 2."""
        current = await self.current()
        if proposal.made_from == 2:
            changes = sheet.diff(current.sheet, proposal.content)
            return configuration.VersionConflict(current, changes)
        self.version = 4
        return configuration.Accepted(4, 9)

    async def config_versions(self):
        """Return the versions; `behind` in argv keeps one host outdated."""
        version = 3 if 'behind' in sys.argv else self.version
        return [
            service.HostConfigVersion('h1', 'a', True, self.version),
            service.HostConfigVersion('h2', 'b', False, version),
        ]

    async def select(self, selector):
        """Return one job."""
        line = service.JobSummary('j1', 'red', 'web', 'w', 'queued', 2, 5.0)
        return service.Selection(1, [line], [])

    async def drain_host(self, host):
        """Start the drain; fail if it is requested again."""
        assert not self.polls_after_drain
        self.polls_after_drain = 1
        return service.DrainState(host, False, 'stops')

    async def drain_endpoint(self, endpoint):
        """Report the drain as done at the second poll."""
        self.endpoint_polls += 1
        remaining = 2 - self.endpoint_polls
        return service.DrainState(
            endpoint, not remaining, f'{remaining} tasks left'
        )

    async def current(self):
        """Return version 3, with the sample sheet of Estendal."""
        content = sheet.parse(samples.read('estendal'))
        return configuration.make_record('r', 2, 'bob', content, 0.0)


async def main():
    """Serve until killed."""
    caller_api = caller_handler.CallerHandler(Jobs())
    operator_api = handler.OperatorHandler(
        Fleet(), signing.Verifier({'k': SECRET})
    )
    async with curio.TaskGroup() as group:
        for api in (caller_api, operator_api):
            listener = server.Server(api)
            print(await listener.listen('127.0.0.1', 0), flush=True)
            await group.spawn(listener.serve)


if __name__ == '__main__':
    curio.run(main)
