"""Run endpoints behind one link in a process of their own.

A host that is busy then doesn't make its endpoints late. The process prints
their entries in the platform's list as one JSON object, by name.
"""

import contextlib
import json
import subprocess
import sys

import curio

from hibiscusslip.http import server
from tests.platform import cell
from tests.platform import standin
from tests.platform.soak import proxy

MAX_RUN_S = 120.0


async def serve(count, run_s, link_mbps):
    """Serve until killed."""
    link = proxy.Link(link_mbps)
    entries = {}
    for number in range(count):
        endpoint = standin.Endpoint(f'e{number}', run_s)
        http_server = server.Server(endpoint)
        port = await http_server.listen('127.0.0.1', 0)
        await curio.spawn(http_server.serve, daemon=True)
        forwarder = proxy.Proxy(port, link)
        await forwarder.listen()
        address = f'127.0.0.1:{forwarder.port}'
        entry = endpoint.entry(address, cell.SERVICE)
        entries[endpoint.name] = entry.decode()
    print(json.dumps(entries), flush=True)
    await curio.sleep(MAX_RUN_S)


@contextlib.contextmanager
def running(count, run_s, link_mbps):
    """Start the process; yield the entries of its endpoints, then end it."""
    args = [str(count), str(run_s), str(link_mbps)]
    process = subprocess.Popen(
        [sys.executable, '-m', __name__, *args], stdout=subprocess.PIPE
    )
    try:
        entries = json.loads(process.stdout.readline())
        yield {name: entry.encode() for name, entry in entries.items()}
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


if __name__ == '__main__':
    curio.run(serve, int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3]))
