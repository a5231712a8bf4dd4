"""Run a cell in one process, on top of the stand-ins."""

import dataclasses
import random
import time

import curio

from hibiscusslip import configuration
from hibiscusslip import sheet
from hibiscusslip.jobs import engine as jobs_engine
from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.node import config
from hibiscusslip.node import node as node_
from hibiscusslip.observe import traces
from hibiscusslip.ownership import timing
from hibiscusslip.peer import loopback
from hibiscusslip.platform import base as platform_base
from hibiscusslip.standin import memory_endpoint
from hibiscusslip.standin import memory_hosts
from hibiscusslip.standin import memory_log
from hibiscusslip.standin import workers

RETENTION_S = 3600.0
SHORT_TIMING = timing.Timing(
    lease=1.5,
    promise=1.2,
    margin=0.1,
    settle=0.2,
    renew_interval=0.4,
    promise_interval=0.2,
    heartbeat=0.2,
    stagger=0.1,
)
SHORT_ENGINE_TIMING = jobs_engine.EngineConfig(
    worker_lease=3.0, settle=0.2, contact_lost_after=2.0
)
MB_PER_GB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointGroup:
    """Describe equal workers, assigned to the zones round-robin."""

    name: str
    count: int
    cores: int
    memory_gb: int
    accelerators: int
    per_rack: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Describe the cell of one firm; `sheet` is its CSV text."""

    name: str
    region: str
    zones: tuple[str, ...]
    groups: tuple[EndpointGroup, ...]
    sheet: bytes
    shards_per_zone: int = 1


def build_endpoints(deployment: Deployment) -> list[places.EndpointInfo]:
    """Return all endpoints of a deployment."""
    endpoints = []
    for group in deployment.groups:
        for number in range(group.count):
            zone = deployment.zones[number % len(deployment.zones)]
            rack = number // len(deployment.zones) // group.per_rack
            capacity = resources.Resources(
                group.cores * 1000,
                group.memory_gb * MB_PER_GB,
                group.accelerators,
                8,
                64,
            )
            endpoints.append(
                places.EndpointInfo(
                    f'{group.name}-{number}',
                    zone,
                    f'{zone}-{group.name}-{rack}',
                    '127.0.0.1',
                    1,
                    capacity,
                )
            )
    return endpoints


class Cell:
    """Run the nodes, the platform and the workers of a cell."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        tracer: traces.Tracer = traces.NOOP_TRACER,
    ) -> None:
        self._tracer = tracer
        self.deployment = deployment
        self.fleet = workers.Fleet()
        self.pump = memory_endpoint.FleetPump(self.fleet)
        self.log = memory_log.MemoryLog(appends_per_s=300.0)
        self.hosts = memory_hosts.MemoryHostList()
        self.network = loopback.LoopbackNetwork()
        self.rng = random.Random(seed)
        self.nodes: dict[str, node_.Node] = {}
        self._pump_task: curio.Task | None = None

    async def start(self, hosts_per_zone: int = 1) -> None:
        """Start the workers and the entry hosts."""
        now = time.monotonic()
        for info in build_endpoints(self.deployment):
            self.fleet.add(info)
            self.hosts.table.put(now, info)
        self._pump_task = await curio.spawn(self.pump.run, daemon=True)
        for zone in self.deployment.zones:
            for number in range(hosts_per_zone):
                await self.add_host(f'{zone}-h{number}', zone)

    async def add_host(self, name: str, zone: str) -> node_.Node:
        """Start an entry host, or a new incarnation of one."""
        token = f'{self.rng.getrandbits(32):08x}'
        me = places.HostId(name, token)
        info = platform_base.EntryHostInfo(name, zone, '127.0.0.1', 1)
        self.hosts.table.put(time.monotonic(), info)
        cfg = config.NodeConfig(
            me=me,
            region=self.deployment.region,
            zone=zone,
            zones=self.deployment.zones,
            shards_per_zone=self.deployment.shards_per_zone,
            timing=SHORT_TIMING,
            engine=SHORT_ENGINE_TIMING,
            hold=0.5,
            host_list_interval=0.5,
        )
        parts = node_.Dependencies(
            self.log,
            self.hosts,
            loopback.LoopbackPeers(me, self.network),
            self._connect,
            RETENTION_S,
            self._tracer,
        )
        node = node_.Node(cfg, parts, random.Random(token))
        self.nodes[name] = node
        self.network.attach(me, node.handler)
        await node.start('127.0.0.1', 1)
        return node

    async def remove_host(self, name: str) -> None:
        """Stop an entry host at once, as a crash would."""
        self.network.detach(name)
        await self.nodes.pop(name).stop()

    def _connect(
        self, info: places.EndpointInfo
    ) -> memory_endpoint.MemoryEndpoint:
        worker = self.fleet.workers[info.name]
        return memory_endpoint.MemoryEndpoint(worker, self.pump)

    async def publish(self, version: int, content: sheet.Sheet) -> None:
        """Publish a sheet as the version after `version`."""
        record = configuration.make_record(
            f'demo-{version}', version, 'planner', content, time.time()
        )
        view = configuration.LogView()
        await configuration.publish(
            self.log, view, record, time.monotonic, 5.0
        )

    async def wait_until_serving(self, timeout: float) -> bool:
        """Return True once every shard accepts requests, False on timeout."""
        deadline = time.monotonic() + timeout
        expected = len(self.deployment.zones) * self.deployment.shards_per_zone
        while time.monotonic() < deadline:
            loads = [n.fleet.loads() for n in self.nodes.values()]
            if sum(map(len, loads)) == expected:
                return True
            await curio.sleep(0.05)
        return False

    async def stop(self) -> None:
        """Stop all nodes and the workers."""
        for node in list(self.nodes.values()):
            await node.stop()
        if self._pump_task is not None:
            await self._pump_task.cancel()
