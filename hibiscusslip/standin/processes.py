"""Run stand-ins as separate processes."""

import dataclasses
import secrets
import typing

import curio
import msgspec

from hibiscusslip.http import client
from hibiscusslip.http import limits
from hibiscusslip.http import server
from hibiscusslip.platform import wire as platform_wire
from hibiscusslip.standin import exceptions
from hibiscusslip.standin import fleet_file
from hibiscusslip.standin import host_list_handler
from hibiscusslip.standin import log_handler
from hibiscusslip.standin import memory_endpoint
from hibiscusslip.standin import memory_hosts
from hibiscusslip.standin import memory_log
from hibiscusslip.standin import streams
from hibiscusslip.standin import wire
from hibiscusslip.standin import worker_handler
from hibiscusslip.standin import workers

REGISTER_TIMEOUT_S = 10.0
BOOT_PREFIX_BYTES = 4
WORKER_LIMITS = limits.Limits(sweep_interval=2.0, max_body_bytes=64 << 20)


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformOptions:
    """Store the addresses and the behaviour of the platform's stand-ins.

    `lag` of the host list is in seconds.
    """

    address: str
    log_port: int
    hosts_port: int
    appends_per_s: float
    lag: float
    retention: streams.Retention


@dataclasses.dataclass(frozen=True, slots=True)
class BoundAddress:
    """Represent the name and the address of one listening stand-in."""

    name: str
    address: str
    port: int


Announce = typing.Callable[[list[BoundAddress]], None]


async def run_platform(
    options: PlatformOptions,
    fleet: fleet_file.FleetFile,
    announce: Announce,
) -> None:
    """Serve a log and a host list until cancelled."""
    log = memory_log.MemoryLog(options.appends_per_s, options.retention)
    hosts = memory_hosts.MemoryHostList(options.lag)
    for member in fleet.members:
        hosts.table.put(0.0, member.info())
    log_server = server.Server(log_handler.LogHandler(log))
    hosts_server = server.Server(host_list_handler.HostListHandler(hosts))
    address = options.address
    log_port = await _listen(log_server, address, options.log_port)
    hosts_port = await _listen(hosts_server, address, options.hosts_port)
    async with curio.TaskGroup() as group:
        await group.spawn(log_server.serve)
        await group.spawn(hosts_server.serve)
        announce(
            [
                BoundAddress('log', address, log_port),
                BoundAddress('hosts', address, hosts_port),
            ]
        )
    _raise_group_failure(group)


async def run_workers(
    fleet: fleet_file.FleetFile,
    register_at: tuple[str, int] | None,
    announce: Announce,
) -> None:
    """Serve all endpoints of a fleet file until cancelled."""
    workers_fleet = workers.Fleet(secrets.token_hex(BOOT_PREFIX_BYTES))
    pump = memory_endpoint.FleetPump(workers_fleet)
    async with curio.TaskGroup() as group:
        await group.spawn(pump.run)
        bound: list[platform_wire.EndpointEntry] = []
        for entry in fleet.endpoints:
            worker = workers_fleet.add(entry.info())
            endpoint = memory_endpoint.MemoryEndpoint(worker, pump)
            handler = worker_handler.WorkerHandler(
                endpoint, workers_fleet.violations
            )
            listener = server.Server(handler, WORKER_LIMITS)
            port = await _listen(listener, entry.address, entry.port)
            await group.spawn(listener.serve)
            bound.append(msgspec.structs.replace(entry, port=port))
        if register_at is not None:
            await _register(*register_at, bound)
        announce([BoundAddress(e.name, e.address, e.port) for e in bound])
    _raise_group_failure(group)


def _raise_group_failure(group: curio.TaskGroup) -> None:
    """Raise the exception that ended a task group.

    The group itself only stores it.
    """
    if group.exception is not None:
        raise group.exception


async def _listen(listener: server.Server, address: str, port: int) -> int:
    try:
        return await listener.listen(address, port)
    except OSError as exc:
        raise exceptions.StandinError(
            f'{address}:{port}: {exc}; choose a free local port'
        ) from exc


async def _register(
    address: str, port: int, bound: list[platform_wire.EndpointEntry]
) -> None:
    pool = client.Pool(address, port)
    try:
        response = await pool.call(
            'POST',
            wire.ENDPOINTS_PATH,
            body=msgspec.json.encode(bound),
            timeout=REGISTER_TIMEOUT_S,
        )
    finally:
        await pool.close()
    if response.status != platform_wire.STATUS_OK:
        raise exceptions.StandinError(
            f'the host list returned {response.status}; check its address'
        )
