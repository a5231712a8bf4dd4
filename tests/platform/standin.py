"""Stand-ins of the platform's store and endpoints.

They serve the platform's HTTP interface over real sockets and record what
happened, so that a test can check the system's guarantees from outside.
"""

import base64
import dataclasses
import struct
import time

import curio
import msgspec

from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import messages
from hibiscusslip.http import server
from hibiscusslip.platform import store

POLL_S = 0.005


def json_response(status, body=None):
    data = b'' if body is None else msgspec.json.encode(body)
    headers = {'content-type': 'application/json'}
    return messages.Response(status, headers, data)


@dataclasses.dataclass
class Partition:
    records: list = dataclasses.field(default_factory=list)
    first: int = 0
    producers: dict = dataclasses.field(default_factory=dict)

    @property
    def end(self):
        return self.first + len(self.records)

    def drop_history(self):
        self.first = self.end
        self.records = []


class Store(server.Handler):
    """Store topics; `mode` is the fault that is injected.

    '' is no fault. 'refuse' responds with 503, 'silent' never responds, and
    'lost' handles the request but drops the connection instead of
    responding. Hosts whose IP address is in `refused_peers` get a 503, as do
    requests for a topic and partition in `unavailable`. Lists of newest
    records have `page_items` records a page.
    """

    def __init__(self):
        self.topics = {}
        self.newest = {}
        self.page_items = 2
        self.mode = ''
        self.refused_peers = set()
        self.unavailable = set()
        self.calls = 0

    def partition(self, topic, part=0):
        return self.topics.setdefault((topic, part), Partition())

    def put(self, topic, key, value, part=0):
        """Write a keyed record, as the operator and the endpoints do."""
        record = store.encode_keyed(key, value)
        self._store_records(topic, part, [record])

    def values(self, topic, part=0):
        latest = self.newest.get((topic, part), {})
        return {key: value for key, (_, value) in latest.items()}

    async def handle(self, req):
        self.calls += 1
        peer = req.peer.rpartition(':')[0]
        if self.mode == 'refuse' or peer in self.refused_peers:
            return json_response(503)
        if self.mode == 'silent':
            await curio.sleep(3600)
        response = await self._serve(req)
        if self.mode == 'lost' and req.method == 'POST':
            raise http_exceptions.DropConnection('the response is lost')
        return response

    async def _serve(self, req):
        name = req.path.rpartition('/')[2]
        part = int(req.query.get('part', 0))
        if (req.query.get('Topic'), part) in self.unavailable:
            return json_response(503)
        if name == 'log-append':
            return self._append(req, part)
        if name == 'log-read':
            return await self._read(req, part)
        if name == 'log-newest':
            return self._newest(req, part)
        return json_response(404)

    def _append(self, req, part):
        topic = req.query['Topic']
        log = self.partition(topic, part)
        records = list(_split(req.body))
        if 'At' in req.query and int(req.query['At']) != log.end:
            return json_response(412, {'End': log.end})
        if 'Producer' not in req.query:
            return self._append_records(topic, part, records)
        name = req.query['Producer']
        epoch, seq = int(req.query['epoch']), int(req.query['Seq'])
        known, last, responses = log.producers.get(name, (-1, -1, {}))
        if epoch < known:
            return json_response(409, {'Reason': 'fenced', 'epoch': known})
        if epoch > known:
            last, responses = seq - 1, {}
        if not records:
            log.producers[name] = (epoch, last, responses)
            return json_response(200, {'Offset': log.end, 'End': log.end})
        if seq in responses:
            return json_response(200, responses[seq])
        if seq != last + 1:
            return json_response(409, {'Reason': 'seq', 'Seq': last + 1})
        response = self._append_records(topic, part, records)
        responses[seq] = msgspec.json.decode(response.body)
        log.producers[name] = (epoch, seq, responses)
        return response

    def _append_records(self, topic, part, records):
        offset = self._store_records(topic, part, records)
        end = self.partition(topic, part).end
        return json_response(200, {'Offset': offset, 'End': end})

    def _store_records(self, topic, part, records):
        log = self.partition(topic, part)
        offset = log.end
        log.records.extend(records)
        if topic.startswith(store.KEYED_PREFIX):
            latest = self.newest.setdefault((topic, part), {})
            for number, record in enumerate(records):
                key, value = store.decode_keyed(record)
                latest.pop(key, None)
                if value:
                    latest[key] = (offset + number, value)
        return offset

    async def _read(self, req, part):
        log = self.partition(req.query['Topic'], part)
        start = int(req.query['From'])
        if start < log.first:
            return json_response(410, {'First': log.first})
        give_up_at = time.monotonic() + int(req.query.get('WaitMs', 0)) / 1000
        while log.end <= start and time.monotonic() < give_up_at:
            await curio.sleep(POLL_S)
        body = struct.pack('>QQ', log.end, log.first)
        for record in log.records[max(start - log.first, 0) :]:
            body += struct.pack('>I', len(record)) + record
        return messages.Response(200, {}, body)

    def _newest(self, req, part):
        latest = self.newest.get((req.query['Topic'], part), {})
        after = req.query.get('DependsOn', '')
        keys = sorted(key for key in latest if key > after)
        items = [
            {
                'Key': key,
                'Value': base64.b64encode(latest[key][1]).decode(),
                'Offset': latest[key][0],
            }
            for key in keys[: self.page_items]
        ]
        end = self.partition(req.query['Topic'], part).end
        more = len(keys) > self.page_items
        return json_response(
            200, {'items': items, 'MorePages': more, 'End': end}
        )


def _split(body):
    position = 0
    while position < len(body):
        (size,) = struct.unpack_from('>I', body, position)
        position += 4
        yield body[position : position + size]
        position += size


@dataclasses.dataclass
class Run:
    task: str
    run: int
    ends_at: float
    checkpoint: str = ''


class Endpoint(server.Handler):
    """Run tasks under leases, without a check of its capacity.

    `mode` is the fault that is injected; '' is none. With 'deaf' it handles
    start requests but doesn't respond to them, with 'dark' it handles no
    request at all. A start of a task whose name ends with one of `deadly`
    crashes it: it is 'dark' until `reboot`. A report lists `page_ends` ended
    runs at most.
    """

    page_ends = 500

    def __init__(self, name, run_s=0.1):
        self.name = name
        self.run_s = run_s
        self.started_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.running = {}
        self.ended = []
        self.last_number = 0
        self.lease = 0.0
        self.fence = 0
        self.starts = []
        self.mode = ''
        self.fail = False
        self.deadly = ()

    def reboot(self, name):
        """Start another incarnation, which knows nothing of before."""
        starts, deadly = self.starts, self.deadly
        self.__init__(name, self.run_s)
        self.starts, self.deadly = starts, deadly

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def entry(self, address, service, seq=1, state='ready'):
        return msgspec.json.encode(
            {
                'Service': service,
                'Addr': address,
                'Zone': 'z1',
                'Version': 'v1',
                'Slots': 8,
                'State': state,
                'ColdLeftMs': 0,
                'Capacity': {'Cpu': 8000, 'MemMb': 8000, 'Gpu': 0},
                'Labels': ['a', 'r1'],
                'ClockMs': self.clock_ms(),
                'Seq': seq,
                'born': self.born,
            }
        )

    async def handle(self, req):
        self._advance()
        if self.mode == 'dark':
            await curio.sleep(3600)
        born = self.born
        name = req.path.rpartition('/')[2]
        if req.headers.get('x-expect-instance') != self.name:
            return json_response(421)
        body = msgspec.json.decode(req.body)
        if body.get('Fence', 0) < self.fence:
            return self._refuse('fence')
        self.fence = max(self.fence, body.get('Fence', 0))
        if name == 'run-start':
            response = self._start(body)
        elif name == 'run-stop':
            response = self._stop(body)
        elif name == 'hold':
            response = await self._hold(body)
        else:
            response = json_response(200, {'ClockMs': self.clock_ms()})
        if name == 'run-start' and body['Task'].endswith(self.deadly):
            self.mode = 'dark'
            self.running.clear()
        deaf = self.mode == 'deaf' and name == 'run-start'
        if deaf or self.mode == 'dark' or born != self.born:
            await curio.sleep(3600)
        return response

    def _refuse(self, reason):
        return json_response(
            409, {'ClockMs': self.clock_ms(), 'Reason': reason}
        )

    def _start(self, body):
        key = (body['Task'], body['Run'])
        self.lease = max(self.lease, body['DeadlineMs'])
        if body['DeadlineMs'] < self.clock_ms():
            return self._refuse('late')
        if key not in self.running:
            if any(t == key[0] and r >= key[1] for _, t, r, *_ in self.ended):
                return self._refuse('old')
            ends_at = time.monotonic() + self.run_s
            self.running[key] = Run(*key, ends_at)
            self.starts.append((time.monotonic(), *key))
        return json_response(200, {'ClockMs': self.clock_ms()})

    def _stop(self, body):
        self._end((body['Task'], body['Run']), 'stopped')
        return json_response(200, {'ClockMs': self.clock_ms()})

    async def _hold(self, body):
        self.lease = max(self.lease, body.get('DeadlineMs', 0))
        acknowledged = body.get('AckCursor', 0)
        self.ended = [row for row in self.ended if row[0] > acknowledged]
        give_up_at = time.monotonic() + body.get('WaitMs', 0) / 1000
        while not self.ended and time.monotonic() < give_up_at:
            await curio.sleep(POLL_S)
            self._advance()
        running = [[t, r, '', self._percent(t, r), 0] for t, r in self.running]
        return json_response(
            200,
            {
                'ClockMs': self.clock_ms(),
                'Running': running,
                'Ended': self.ended[: self.page_ends],
                'born': self.born,
            },
        )

    def _percent(self, task, run):
        left = self.running[task, run].ends_at - time.monotonic()
        return max(0, min(99, int(100 * (1 - left / self.run_s))))

    def _advance(self):
        now = time.monotonic()
        lease_expired = self.clock_ms() > self.lease
        for key, run in list(self.running.items()):
            if run.ends_at <= now:
                self._end(key, 'failed' if self.fail else 'done')
            elif lease_expired:
                self._end(key, 'lapsed')

    def _end(self, key, how):
        if self.running.pop(key, None) is not None:
            self.last_number += 1
            self.ended.append([self.last_number, key[0], key[1], how, ''])
