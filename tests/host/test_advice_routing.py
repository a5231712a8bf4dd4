"""Check that advice comes from another host when one doesn't answer."""

import curio

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import state
from hibiscusslip.host import advice_routing
from hibiscusslip.host import notices
from hibiscusslip.peer import exceptions
from hibiscusslip.peer import messages
from tests.dispatch import support
from tests.host import fakes


class Links(fakes.FakeLinks):
    """Answer for hosts of one zone only; `asked` keeps who was asked."""

    def __init__(self, ctx, answering):
        self._ctx = ctx
        self._answering = answering
        self.asked = []

    async def call(self, host, body, timeout):
        self.asked.append(host)
        if self._ctx.hosts[host].zone != self._answering:
            raise exceptions.PeerUnsettled('no answer')
        return messages.AdviceReply({'e1': 't'}, 2.0, 0.0)


class Cell:
    def __init__(self, names):
        self.ctx = fakes.make_context(fakes.FakeStore())
        for name in names:
            zone = name[0]
            record = notices.HostRecord(name, 'i', zone, '10.0.0.1', 1)
            self.ctx.hosts[name] = record
        self.links = Links(self.ctx, 'b')
        self.router = advice_routing.AdviceRouter(self.ctx, None, self.links)

    async def ask(self):
        bench = support.Bench()
        job = bench.submit('j', support.step())
        step: state.StepState = job.occurrences[0][0]
        request = commands.AdviceRequest(step, ('e1',), 0.02)
        # A load of its own keeps this host from asking itself.
        self.router._loads[self.ctx.cfg.name] = 9.0
        return await self.router.request_advice(request)


def test_another_host_is_asked_when_one_doesnt_answer():
    cell = Cell(['a1', 'b1'])
    tickets, _, _ = curio.run(cell.ask)
    assert tickets == {'e1': 't'}
    assert cell.links.asked == ['a1', 'b1']


def test_a_silent_host_speaks_for_its_zone_for_a_moment():
    cell = Cell(['a1', 'a2', 'a3', 'b1'])
    assert curio.run(cell.ask) is not None
    assert curio.run(cell.ask) is not None
    assert cell.links.asked == ['a1', 'b1', 'b1']
