"""Run a stand-in of the platform in a process of its own.

It prints the port of its store. A POST to /standin/config at that port
replaces the configuration, and a GET of /standin/inbox returns the keys and
the sizes of the records that hosts have written for callers.
"""

import sys

import curio
import msgspec

from hibiscusslip.host import topics
from hibiscusslip.http import server
from tests.platform import cell
from tests.platform import standin

MAX_RUN_S = 600.0
PARTITIONS = 12


class Platform(server.Handler):
    """Serve the store and the calls of the test."""

    def __init__(self):
        self.store = standin.Store()

    async def handle(self, req):
        """Return the response of the store or to a call of the test."""
        if req.path == '/standin/config':
            self.store.put('keyed.op', 'config', req.body)
            return standin.json_response(200)
        if req.path == '/standin/inbox':
            return standin.json_response(200, self._list_inbox())
        return await self.store.handle(req)

    def _list_inbox(self):
        sizes = {}
        for part in range(PARTITIONS):
            values = self.store.values(topics.INBOX, part)
            sizes.update({key: len(value) for key, value in values.items()})
        return sizes


async def serve():
    """Serve until killed."""
    platform = Platform()
    document = msgspec.json.decode(cell.config_document())
    platform.store.put('keyed.op', 'config', msgspec.json.encode(document))
    endpoint = standin.Endpoint('e0')
    endpoint_server = server.Server(endpoint)
    port = await endpoint_server.listen('127.0.0.1', 0)
    await curio.spawn(endpoint_server.serve, daemon=True)
    entry = endpoint.entry(f'127.0.0.1:{port}', cell.SERVICE)
    platform.store.put('keyed.servers', 'e0', entry)
    platform_server = server.Server(platform)
    port = await platform_server.listen('127.0.0.1', 0)
    await curio.spawn(platform_server.serve, daemon=True)
    print(port, flush=True)
    await curio.sleep(MAX_RUN_S)


if __name__ == '__main__':
    sys.exit(curio.run(serve))
