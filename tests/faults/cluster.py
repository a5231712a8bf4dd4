"""Run a cell of real processes, connected through a fault-injecting proxy.

Routes of the proxy are named `SOURCE>TARGET`: `host>log` and `host>hosts`
connect an entry host to the platform, `zone>host` and `zone>worker` connect
the hosts of an availability zone to peers and workers, `caller>host` connects
callers.
"""

import dataclasses
import json
import pathlib

from tests.faults import process
from tests.faults import settings_file
from tests.faults import web

HOLD_BYTES = {'hold': True}
RELEASE_BYTES = {'hold': False}


@dataclasses.dataclass(frozen=True)
class Plan:
    """Configure the size of a cell and the behaviour of its parts."""

    zones: tuple[str, ...] = ('a', 'b')
    hosts_per_zone: int = 1
    workers_per_zone: int = 2
    cpu_milli: int = 4000
    memory_mb: int = 16_000
    accelerators: int = 0
    slots: int = 8
    connections: int = 64
    appends_per_s: float = 300.0
    lag: float = 0.0
    shards_per_zone: int = 4
    timing: dict[str, float] = dataclasses.field(default_factory=dict)
    limits: dict[str, float] = dataclasses.field(default_factory=dict)
    seed: int = 1


@dataclasses.dataclass
class EntryHost:
    """Represent one entry host.

    The ports in `plan` are those of the process itself; `callers` is the
    port of the proxy that leads to it.
    """

    plan: settings_file.EntryPlan
    callers: int = 0
    running: process.Process | None = None


class Cluster:
    """Run a cell and inject faults; use it as a context manager."""

    def __init__(self, directory: pathlib.Path, plan: Plan) -> None:
        self.plan = plan
        self.hosts: dict[str, EntryHost] = {}
        self.workers: dict[str, int] = {}
        self.log_port = 0
        self._dir = directory
        self._control_port = 0
        self._host_lists: dict[str, int] = {}
        self._processes: list[process.Process] = []
        self._ports = process.Ports()

    def __enter__(self) -> 'Cluster':
        """Start all processes except the entry hosts."""
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *args: object) -> None:
        """End all processes."""
        self.close()

    def close(self) -> None:
        """End all processes."""
        for started in reversed(self._processes):
            started.close()
        self._ports.close()

    def start_host(self, name: str) -> EntryHost:
        """Start the process of an entry host and wait until it listens."""
        host = self._launch(name)
        process.wait_for_port(host.plan.callers_port, host.running)
        return host

    def start_hosts(self) -> None:
        """Start the processes of all entry hosts."""
        for host in [self._launch(name) for name in self.hosts]:
            process.wait_for_port(host.plan.callers_port, host.running)

    def apply(self, sheet: str) -> None:
        """Publish a sheet and wait until it is in force on all hosts."""
        path = self._dir / 'sheet.csv'
        path.write_text(sheet)
        secret = self._dir / settings_file.SECRET_NAME
        args = ['-m', 'hibiscusslip.commands.ctl', 'apply', str(path)]
        args += ['--key-id', settings_file.KEY_ID]
        args += ['--secret-file', str(secret)]
        for host in self.hosts.values():
            args += ['--entry', f'127.0.0.1:{host.plan.operators_port}']
        started = self._run(f'ctl.{len(self._processes)}', args)
        code = started.wait(process.READY_TIMEOUT_S * 3)
        assert code == 0, started.output()

    def set_proxy_faults(self, route: str, **changes: object) -> None:
        """Change the faults of proxy routes; see tests.faults.proxy_route."""
        body = {'route': route, **changes}
        web.call_json(self._control_port, 'POST', '/faults', body)

    def set_log_faults(self, **changes: object) -> None:
        """Change the faults of the log."""
        web.call_json(self.log_port, 'POST', '/faults', changes)

    def set_host_list_faults(self, **changes: object) -> None:
        """Change the faults of the host list of every zone."""
        for port in self._host_lists.values():
            web.call_json(port, 'POST', '/faults', changes)

    def set_worker_faults(self, name: str, **changes: object) -> None:
        """Change the faults of one worker."""
        web.call_json(self.workers[name], 'POST', '/faults', changes)

    def set_state(self, name: str, state: str) -> None:
        """Change the state of an endpoint or entry host on all host lists."""
        body = {'name': name, 'state': state}
        for port in self._host_lists.values():
            web.call_json(port, 'POST', '/members/state', body)

    def counters(self) -> dict:
        """Return the counters of the workers, violations included."""
        port = next(iter(self.workers.values()))
        return web.call_json(port, 'GET', '/counters')

    def start_counts(self) -> dict[str, int]:
        """Return the number of starts of each task."""
        port = next(iter(self.workers.values()))
        return web.call_json(port, 'GET', '/started')

    def partition(self, zone: str, with_platform: bool = False) -> None:
        """Partition a zone from the others by holding all bytes."""
        for name in self._routes_across(zone, with_platform):
            self.set_proxy_faults(name, up=HOLD_BYTES, down=HOLD_BYTES)

    def partition_from_platform(self, zone: str) -> None:
        """Partition the hosts of a zone from the platform."""
        for name in self._routes_to_platform(zone):
            self.set_proxy_faults(name, up=HOLD_BYTES, down=HOLD_BYTES)

    def heal(self) -> None:
        """Remove all faults of the proxy."""
        self.set_proxy_faults('*', heal=True)

    def _launch(self, name: str) -> EntryHost:
        host = self.hosts[name]
        path = self._dir / f'{name}.toml'
        secret = self._dir / settings_file.SECRET_NAME
        if not secret.exists():  # concurrently starting hosts read this file
            secret.write_text(settings_file.SECRET)
        path.write_text(settings_file.render(host.plan, secret))
        args = ['-m', 'tests.faults.entry', '--settings', str(path)]
        host.running = self._run(f'{name}.{len(self._processes)}', args)
        return host

    def _routes_across(self, zone: str, with_platform: bool) -> list[str]:
        routes = [
            f'{source}>{target}'
            for source in self.plan.zones
            for target, host in self.hosts.items()
            if (source == zone) != (host.plan.zone == zone)
        ]
        return routes + (
            self._routes_to_platform(zone) if with_platform else []
        )

    def _routes_to_platform(self, zone: str) -> list[str]:
        names = [n for n, h in self.hosts.items() if h.plan.zone == zone]
        return [f'{n}>{t}' for n in names for t in ('log', 'hosts')]

    def _start(self) -> None:
        seed = str(self.plan.seed)
        proxy = self._run(
            'proxy', ['-m', 'tests.faults.proxy'], '--seed', seed
        )
        self._control_port = proxy.ready()[0]['port']
        for zone in self.plan.zones:
            self._start_platform(zone)
        self._start_workers()
        for zone in self.plan.zones:
            for number in range(self.plan.hosts_per_zone):
                self._add_host(zone, f'{zone}-host{number}')
        for zone in self.plan.zones:
            self._register_members(zone)

    def _start_platform(self, zone: str) -> None:
        args = ['-m', 'hibiscusslip.commands.standin', 'platform', '--json']
        rate, lag = str(self.plan.appends_per_s), str(self.plan.lag)
        started = self._run(
            f'platform-{zone}', args, '--appends-per-s', rate, '--lag', lag
        )
        ports = {item['name']: item['port'] for item in started.ready()}
        self.log_port = self.log_port or ports['log']
        self._host_lists[zone] = ports['hosts']

    def _start_workers(self) -> None:
        path = self._dir / 'fleet.toml'
        path.write_text(''.join(map(_render_endpoint, self._worker_entries())))
        args = ['-m', 'hibiscusslip.commands.standin', 'workers', str(path)]
        started = self._run('workers', args, '--json')
        self.workers = {m['name']: m['port'] for m in started.ready()}

    def _worker_entries(self) -> list[dict]:
        plan = self.plan
        return [
            {
                'name': f'{zone}-worker{number}',
                'zone': zone,
                'rack': f'{zone}-rack{number // 2}',
                'address': '127.0.0.1',
                'port': 0,
                'cpu_milli': plan.cpu_milli,
                'memory_mb': plan.memory_mb,
                'accelerators': plan.accelerators,
                'slots': plan.slots,
                'connections': plan.connections,
            }
            for zone in plan.zones
            for number in range(plan.workers_per_zone)
        ]

    def _add_host(self, zone: str, name: str) -> None:
        ports = [self._ports.reserve() for _ in range(3)]
        hosts_port = self._host_lists[zone]
        entry = settings_file.EntryPlan(
            name,
            zone,
            *ports,
            log_port=self._open_route(f'{name}>log', self.log_port),
            hosts_port=self._open_route(f'{name}>hosts', hosts_port),
            zones=self.plan.zones,
            shards_per_zone=self.plan.shards_per_zone,
            timing=self.plan.timing,
            limits=self.plan.limits,
        )
        callers = self._open_route(f'caller>{name}', entry.callers_port)
        self.hosts[name] = EntryHost(entry, callers=callers)

    def _register_members(self, zone: str) -> None:
        endpoints = self._worker_entries()
        for entry in endpoints:
            name = entry['name']
            entry['port'] = self._open_route(
                f'{zone}>{name}', self.workers[name]
            )
        hosts = [
            {
                'name': name,
                'zone': host.plan.zone,
                'address': '127.0.0.1',
                'port': self._open_route(
                    f'{zone}>{name}', host.plan.peers_port
                ),
            }
            for name, host in self.hosts.items()
        ]
        port = self._host_lists[zone]
        web.call_json(port, 'POST', '/members/endpoints', endpoints)
        web.call_json(port, 'POST', '/members/entry-hosts', hosts)

    def _open_route(self, name: str, port: int) -> int:
        body = {'name': name, 'address': '127.0.0.1', 'port': port}
        return web.call_json(self._control_port, 'POST', '/routes', body)[
            'port'
        ]

    def _run(self, name: str, args: list[str], *more: str) -> process.Process:
        started = process.Process(name, [*args, *more], self._dir)
        self._processes.append(started)
        return started


def _render_endpoint(entry: dict) -> str:
    lines = [f'{name} = {json.dumps(value)}' for name, value in entry.items()]
    return '\n'.join(['[[endpoints]]', *lines, ''])
