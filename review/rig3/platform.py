"""Run the platform's store as a process of its own.

The store is the project's stand-in. Workers write their entries through
`/beat`, and an entry is removed after three heartbeat intervals of silence;
the operator writes the configuration through `/config`. The process prints
its port as one line.
"""

import sys
import time

import curio
import msgspec

from hibiscusslip.http import server
from tests.platform import standin

HEARTBEAT_S = 1.5
SILENT_INTERVALS = 3
SWEEP_S = 0.1
MAX_LIFE_S = 150.0


class Store(standin.Store):
    """The project's store, with calls for workers and the operator."""

    def __init__(self):
        super().__init__()
        self.page_items = 500
        self.beats = {}

    async def handle(self, req):
        """Return the response to a call."""
        if req.path == '/beat':
            body = msgspec.json.decode(req.body)
            self.beats[body['name']] = time.monotonic()
            entry = msgspec.json.encode(body['entry'])
            self.put('keyed.servers', body['name'], entry)
            return standin.json_response(200)
        if req.path == '/config':
            self.put('keyed.op', 'config', req.body)
            return standin.json_response(200)
        return await super().handle(req)

    async def sweep(self):
        """Remove the entries of workers that are silent, until cancelled."""
        while True:
            await curio.sleep(SWEEP_S)
            oldest = time.monotonic() - SILENT_INTERVALS * HEARTBEAT_S
            for name, at in list(self.beats.items()):
                if at < oldest:
                    del self.beats[name]
                    self.put('keyed.servers', name, b'')


async def serve():
    """Serve until killed."""
    store = Store()
    http_server = server.Server(store)
    port = await http_server.listen('127.0.0.1', 0)
    await curio.spawn(http_server.serve, daemon=True)
    await curio.spawn(store.sweep, daemon=True)
    print(port, flush=True)
    await curio.sleep(MAX_LIFE_S)


if __name__ == '__main__':
    sys.exit(curio.run(serve))
