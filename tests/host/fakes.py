"""In-memory fakes of the store, the log and other hosts."""

import curio

from hibiscusslip.host import context
from hibiscusslip.host import inbox
from hibiscusslip.host import ownership
from hibiscusslip.http import uplink
from hibiscusslip.observe import prometheus
from hibiscusslip.platform import settings
from hibiscusslip.platform import store

ADDRESS = settings.Address('127.0.0.1', 1)


class FakeLog:
    """Store the logged events."""

    def __init__(self):
        self.events = []

    def note(self, event, **fields):
        self.events.append((event, fields))

    def flush(self):
        pass

    def named(self, name):
        return [fields for event, fields in self.events if event == name]


class FakeStore:
    """Store records; `script` lists the actions of the next appends."""

    def __init__(self):
        self.records = []
        self.script = []
        self.appends = 0
        self.timeout = 0.0

    async def append(self, topic, records, timeout, **options):
        self.appends += 1
        self.timeout = timeout
        action = self.script.pop(0) if self.script else None
        if action is not None:
            await action(self, topic, records)
        self.records.extend((topic, record) for record in records)
        return len(self.records) - len(records)

    def keys(self):
        return [store.decode_keyed(record)[0] for _, record in self.records]


class FakeLinks:
    """Fake links to other hosts; subclasses answer the calls."""

    def set_address(self, host, address, port):
        pass

    def remove_host(self, host):
        pass


class FakeRelay(inbox.Relay):
    """Run the next action of `script`; refuse if there is none."""

    def __init__(self):
        self.script = []
        self.items = []
        self.hosts = ['h2']
        self.seek_s = 0.0

    async def find_hosts_with_store(self):
        await curio.sleep(self.seek_s)
        return self.hosts

    async def write(self, items, hosts):
        self.items.append(items)
        if not self.script:
            return inbox.Outcome.REFUSED
        action = self.script.pop(0)
        return await action(items)


def host_settings(name='h1'):
    return settings.HostSettings(
        name=name,
        zone='z1',
        zones=('z1', 'z2'),
        partitions=12,
        front=ADDRESS,
        ready=ADDRESS,
        ports=(7000, 7010),
        store=ADDRESS,
        advice=None,
        cloud=None,
        cpu_share=1.0,
        cores=1.0,
        link_mbps=100.0,
        bounds=settings.Bounds(),
    )


def make_context(fake_store, name='h1'):
    ctx = context.Context(
        cfg=host_settings(name),
        incarnation='i1',
        store=fake_store,
        uplink=uplink.Uplink(100.0),
        log=FakeLog(),
        metrics=prometheus.Metrics(),
        ownership=ownership.Ownership(name, 'i1'),
    )
    ctx.record_store_success(context.monotonic())
    return ctx
