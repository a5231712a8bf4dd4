"""Check that advice is requested through another host if one fails."""

import curio

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import state
from hibiscusslip.host import advice_routing
from hibiscusslip.host import notices
from hibiscusslip.peer import exceptions
from hibiscusslip.peer import messages
from tests.dispatch import support
from tests.host import fakes


class ZoneLinks(fakes.FakeLinks):
    """Answer calls to one zone only; `called_hosts` records all calls."""

    def __init__(self, ctx, answering_zone):
        self._ctx = ctx
        self._answering_zone = answering_zone
        self.called_hosts = []

    async def call(self, host, body, timeout):
        self.called_hosts.append(host)
        if self._ctx.hosts[host].zone != self._answering_zone:
            raise exceptions.PeerUnsettled('no answer')
        return messages.AdviceReply({'e1': 't'}, 2.0, 0.0)


class Cell:
    def __init__(self, names):
        self.ctx = fakes.make_context(fakes.FakeStore())
        for name in names:
            zone = name[0]
            record = notices.HostRecord(name, 'i', zone, '10.0.0.1', 1)
            self.ctx.hosts[name] = record
        self.links = ZoneLinks(self.ctx, 'b')
        self.router = advice_routing.AdviceRouter(self.ctx, None, self.links)

    async def request_advice(self):
        bench = support.Bench()
        job = bench.submit('j', support.step())
        step: state.StepState = job.occurrences[0][0]
        request = commands.AdviceRequest(step, ('e1',), 0.02)
        # A load on this host keeps the router from calling locally.
        self.router._loads[self.ctx.cfg.name] = 9.0
        return await self.router.request_advice(request)


def test_failed_call_is_repeated_through_another_host():
    cell = Cell(['a1', 'b1'])
    tickets, _, _ = curio.run(cell.request_advice)
    assert tickets == {'e1': 't'}
    assert cell.links.called_hosts == ['a1', 'b1']


def test_zone_of_an_unresponsive_host_is_avoided_briefly():
    cell = Cell(['a1', 'a2', 'a3', 'b1'])
    assert curio.run(cell.request_advice) is not None
    assert curio.run(cell.request_advice) is not None
    assert cell.links.called_hosts == ['a1', 'b1', 'b1']
