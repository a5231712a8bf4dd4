"""Run hosts against a stand-in of the platform, all in one process."""

import contextlib
import itertools
import os

import curio
import msgspec

from hibiscusslip.host import host
from hibiscusslip.host import starting
from hibiscusslip.http import client
from hibiscusslip.http import server
from hibiscusslip.platform import settings
from tests.platform import standin
from tests.platform.soak import proxy

SECRET = b'0123456789abcdef'
SERVICE = 'planner'
HOST = 'a.example'
PREFIX = '/small/'
_address_numbers = itertools.count(2)

SETTINGS_FILE = """
Node={name}
Zone=z1
Zones.z1=r
Ip={ip}
Listen.Front={ip}:18149
Listen.Ready={ip}:18141
PortRange=17380,17395
Bootstrap=true
Limits.CpuShare=1
Limits.Cores=1
HeartbeatMs=1500
Bounds.MaxHoldMs=6000
platform.Addr={store}
platform.parts=12
"""


def large_config_document(version, routes):
    """Return a configuration with `routes` more routes than the small one."""
    document = msgspec.json.decode(config_document(version))
    (route,) = document['Routes']
    document['Routes'] += [
        {**route, 'Name': f'r-{number:07}', 'PathPrefix': f'/{number:07}/'}
        for number in range(routes)
    ]
    return msgspec.json.encode(document)


ADVICE = {'DecisionMs': 5}


def organisations_document(version=1, keys=None, **route):
    """Return a configuration with an organisation for each of `keys`."""
    document = msgspec.json.decode(config_document(version, **route))
    document['Tenants'] = [
        {'Name': name, 'ApiKeys': api_keys}
        for name, api_keys in (keys or {}).items()
    ]
    return msgspec.json.encode(document)


def config_document(version=1, service=SERVICE, prefix=PREFIX, **route):
    fields = {
        'Name': 'r-small',
        'Host': HOST,
        'PathPrefix': prefix,
        'Kind': 'unsafe',
        'TimeoutMs': 3000,
        'TargetLatencyMs': 1000,
        'Priority': 0,
        'Service': service,
        'MaxAttempts': 2,
        'Stretch': 2.0,
    }
    fields.update(route)
    return msgspec.json.encode(
        {
            'Version': version,
            'Routes': [fields],
            'Services': [
                {'Name': service, 'HealthPath': '/h', 'MaxConns': 64}
            ],
            'Limits': {'MaxBodyBytes': 262144},
        }
    )


def _unique_address(number):
    """Return a loopback address that is unique to this test process."""
    pid = os.getpid()
    return f'127.{1 + pid // 250 % 250}.{pid % 250}.{number}'


async def _listen_on(link, port):
    """Return the port at which connections to `port` go over a link."""
    forwarder = proxy.Proxy(port, link)
    await forwarder.listen()
    return forwarder.port


class Cell:
    """Run a store, endpoints and hosts; each host has its own address."""

    def __init__(self):
        self.store = standin.Store()
        self.endpoints = {}
        self.endpoint_addresses = {}
        self.hosts = {}
        self.contexts = {}
        self.addresses = {}
        self._store_address = ''
        self._extra_settings = ''
        self._tasks = []

    async def start(
        self, hosts=1, endpoints=1, run_s=0.1, config=None, extra_settings=''
    ):
        self._extra_settings = extra_settings
        self.store.put('keyed.op', 'config', config or config_document())
        port = await self._serve(self.store, '127.0.0.1')
        self._store_address = f'127.0.0.1:{port}'
        for number in range(endpoints):
            await self.add_endpoint(f'e{number}', run_s)
        for number in range(hosts):
            await self.add_host(f'h{number}')

    async def add_endpoint(self, name, run_s=0.1):
        endpoint = standin.Endpoint(name, run_s)
        port = await self._serve(endpoint, '127.0.0.1')
        address = f'127.0.0.1:{port}'
        self.store.put('keyed.servers', name, endpoint.entry(address, SERVICE))
        self.endpoints[name] = endpoint
        self.endpoint_addresses[name] = address

    async def reboot_endpoint(self, name, down_s):
        """Keep a crashed endpoint down, then start it under another id."""
        await curio.sleep(down_s)
        endpoint, address = self.endpoints[name], self.endpoint_addresses[name]
        self.store.put('keyed.servers', endpoint.name, b'')
        endpoint.reboot(f'{endpoint.name}x')
        self.store.put(
            'keyed.servers', endpoint.name, endpoint.entry(address, SERVICE)
        )

    async def add_host(self, name, link_mbps=None):
        """Start a host, on a link of that rate to the store."""
        ip = _unique_address(next(_address_numbers) % 250)
        store_address = self._store_address
        if link_mbps is not None:
            port = int(store_address.rpartition(':')[2])
            port = await _listen_on(proxy.Link(link_mbps), port)
            store_address = f'127.0.0.1:{port}'
        text = SETTINGS_FILE.format(name=name, ip=ip, store=store_address)
        text += f'Limits.LinkMbps={link_mbps or 1000}\n'
        text += self._extra_settings
        ctx = starting.make_context(settings.parse(text))
        task = await curio.spawn(host.Host(ctx, SECRET, '').run, daemon=True)
        self.hosts[name] = task
        self.contexts[name] = ctx
        self.addresses[name] = ip
        self._tasks.append(task)

    async def kill(self, name):
        await self.hosts.pop(name).cancel()
        self.contexts.pop(name)

    def owner(self):
        for name, ctx in self.contexts.items():
            if ctx.ownership.held_epoch:
                return name
        return None

    async def wait_until(self, condition, timeout=15.0):
        async with curio.timeout_after(timeout):
            while not condition():
                await curio.sleep(0.02)

    async def call(self, name, method, path, body=b'', **headers):
        pool = client.Pool(self.addresses[name], 18149, max_connections=1)
        try:
            return await pool.call(
                method,
                path,
                body=body,
                headers={'host': HOST, 'x-deadline-ms': '3000', **headers},
                timeout=4.0,
            )
        finally:
            await pool.close()

    async def submit(self, name, job_id, **fields):
        step = {'Count': 2, 'Cpu': 1000, 'MemMb': 10, 'EstimateMs': 100}
        step.update(fields)
        body = msgspec.json.encode({'Spec': 'x', 'Steps': [step]})
        return await self.call(name, 'POST', PREFIX + job_id, body)

    async def state(self, name, job_id):
        response = await self.call(name, 'GET', PREFIX + job_id)
        if response.status != 200:
            return response.status
        return msgspec.json.decode(response.content)['State']

    async def wait_for_state(self, name, job_id, state, timeout=15.0):
        async with curio.timeout_after(timeout):
            while await self.state(name, job_id) != state:
                await curio.sleep(0.05)

    def starts(self):
        return [
            (name, task, run)
            for name, endpoint in self.endpoints.items()
            for _, task, run in endpoint.starts
        ]

    async def _serve(self, handler, ip):
        http_server = server.Server(handler)
        port = await http_server.listen(ip, 0)
        self._tasks.append(await curio.spawn(http_server.serve, daemon=True))
        return port

    async def close(self):
        for task in self._tasks:
            await task.cancel()


@contextlib.asynccontextmanager
async def running(**options):
    cell = Cell()
    try:
        await cell.start(**options)
        yield cell
    finally:
        await cell.close()
