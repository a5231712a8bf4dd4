"""A stand-in of the service that says which workers may run a step."""

import collections

import curio
import msgspec

from hibiscusslip.http import messages
from hibiscusslip.http import server

MAX_WAITING = 32
MS_PER_S = 1000


class Advice:
    """Answer calls, one at a time for each calling machine.

    `describe(job)` returns the advice of the job's queue, as the
    configuration has it, and the workers that may run it.
    """

    def __init__(self, describe, record):
        self.describe = describe
        self.record = record
        self.calls = 0

    async def serve(self):
        """Return the address that one machine calls."""
        http_server = server.Server(_Machine(self))
        port = await http_server.listen('127.0.0.1', 0)
        await curio.spawn(http_server.serve, daemon=True)
        return f'127.0.0.1:{port}'


class _Machine(server.Handler):
    """Answer the calls of one machine, in turn."""

    def __init__(self, advice):
        self._advice = advice
        self._queue = collections.deque()
        self._busy = False

    async def handle(self, req):
        """Answer a call."""
        if len(self._queue) >= MAX_WAITING:
            return messages.Response(429)
        body = msgspec.json.decode(req.body)
        if self._busy:
            turn = curio.Event()
            self._queue.append(turn)
            await turn.wait()
        self._busy = True
        try:
            return await self._answer(body)
        finally:
            self._busy = False
            if self._queue:
                self._busy = True
                await self._queue.popleft().set()

    async def _answer(self, body):
        step, names = body['Step'], body['Workers'][:100]
        config, allowed = self._advice.describe(step.partition('.')[0])
        took_ms = config['DecisionMs'] + config['PeriodMs'] * len(names)
        await curio.sleep(took_ms / MS_PER_S)
        eligible = [[n, f'{step}@{n}'] for n in names if n in allowed]
        self._advice.calls += 1
        self._advice.record(
            'advised', step=step, asked=len(names), eligible=len(eligible)
        )
        return messages.Response(
            200,
            {'content-type': 'application/json'},
            msgspec.json.encode({'Eligible': eligible}),
        )
