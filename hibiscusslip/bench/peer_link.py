"""Measure round trips over a peer link, both ends on one event loop."""

import dataclasses
import sys
import time

import curio

from hibiscusslip.model import places
from hibiscusslip.peer import base
from hibiscusslip.peer import hello
from hibiscusslip.peer import limits
from hibiscusslip.peer import links
from hibiscusslip.peer import messages
from hibiscusslip.peer import server

CALL_TIMEOUT_SECONDS = 30.0
CALLS_PER_CALLER = 4000
CALLER_COUNTS = (1, 32)
_INFO = hello.HelloInfo('z1', 'r1', 8)
_KEYS = hello.Keys({'bench': b'0123456789abcdef'})
_LIMITS = limits.Limits()


@dataclasses.dataclass(frozen=True, slots=True)
class RoundTrips:
    """Represent the cost of a run of round trips, of both ends together."""

    callers: int
    calls: int
    wall_seconds: float
    cpu_seconds: float
    bytes_sent: int
    writes: int

    @property
    def per_second(self) -> float:
        """Return the calls per second."""
        return self.calls / self.wall_seconds

    @property
    def cpu_micros(self) -> float:
        """Return the microseconds of processor time per call."""
        return self.cpu_seconds / self.calls * 1e6


class _DoneHandler(base.Handler):
    async def handle(
        self, sender: places.HostId, body: messages.PeerMessage
    ) -> messages.PeerMessage:
        """Confirm every call."""
        return messages.Done()


async def _call_many(peers: links.PeerLinks, calls: int) -> None:
    body = messages.CommitRequest('0123456789abcdef', 'a', 0)
    for _ in range(calls):
        await peers.call('b', body, CALL_TIMEOUT_SECONDS)


async def _run(peers: links.PeerLinks, callers: int) -> RoundTrips:
    calls = CALLS_PER_CALLER // callers
    await _call_many(peers, 1)
    sent, writes = peers.counts.bytes_sent, peers.counts.writes
    wall, cpu = time.perf_counter(), time.process_time()
    async with curio.TaskGroup() as group:
        for _ in range(callers):
            await group.spawn(_call_many, peers, calls)
    return RoundTrips(
        callers,
        calls * callers,
        time.perf_counter() - wall,
        time.process_time() - cpu,
        peers.counts.bytes_sent - sent,
        peers.counts.writes - writes,
    )


async def measure(callers: int) -> RoundTrips:
    """Return the cost of round trips with `callers` concurrent callers."""
    me = places.HostId('b', 'i1')
    srv = server.PeerServer(me, _INFO, _KEYS, _LIMITS, _DoneHandler())
    port = await srv.listen('127.0.0.1', 0)
    serving = await curio.spawn(srv.serve())
    peers = links.PeerLinks(places.HostId('a', 'i1'), _INFO, _KEYS, _LIMITS)
    peers.set_address('b', '127.0.0.1', port)
    try:
        return await _run(peers, callers)
    finally:
        await peers.close()
        await srv.close()
        await serving.join()


def main() -> None:
    """Print the cost of round trips for one and for many callers."""
    out = sys.stdout
    out.write('callers  calls/s  cpu us/call  bytes/call  calls/write\n')
    for callers in CALLER_COUNTS:
        trips = curio.run(measure, callers)
        out.write(
            f'{trips.callers:7}  {trips.per_second:7.0f}'
            f'  {trips.cpu_micros:11.1f}'
            f'  {trips.bytes_sent / trips.calls:10.0f}'
            f'  {trips.calls / trips.writes:11.1f}\n'
        )


if __name__ == '__main__':
    main()
