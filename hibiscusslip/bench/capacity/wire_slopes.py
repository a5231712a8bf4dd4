"""Measure the bytes of each message and record on the wire."""

import dataclasses

import curio
import msgspec

from hibiscusslip import codec
from hibiscusslip import configuration
from hibiscusslip.bench.capacity import samples
from hibiscusslip.bench.capacity import sizes
from hibiscusslip.endpoint import wire as endpoint_wire
from hibiscusslip.http import client
from hibiscusslip.http import limits
from hibiscusslip.http import messages as http_messages
from hibiscusslip.http import server
from hibiscusslip.peer import messages
from hibiscusslip.platform import wire as platform_wire
from hibiscusslip.records import zone as zone_records

# Header and mask of a websocket frame with more than 125 bytes.
FRAME_BYTES = 8
FEW_TASKS = 10
MANY_TASKS = 110


@dataclasses.dataclass(frozen=True, slots=True)
class WireSlopes:
    """Represent bytes per message, record or entry.

    `http_pair` is the heads of an HTTP request and its response.
    """

    heartbeat: int
    heartbeat_load: float
    known_host: float
    small_call: int
    http_pair: int
    start_order: int
    ended_run: int
    renew_call: int
    renew_task: float
    renewal_append: int
    renewal_read: int
    job_append: int
    job_read: int
    host_entry: float
    config_read: int
    config_team: float


def _peer_bytes(body: messages.PeerMessage) -> int:
    envelope = messages.Envelope(412_345, False, '', 1.5, body)
    return len(codec.encode(envelope)) + FRAME_BYTES


def _append_bytes(records: tuple[zone_records.ZoneRecord, ...]) -> int:
    data = [codec.encode(record) for record in records]
    return len(msgspec.json.encode(platform_wire.AppendRequest(data)))


def _read_bytes(data: list[bytes]) -> int:
    records = [
        platform_wire.WireRecord(9_123_456 + index, item)
        for index, item in enumerate(data)
    ]
    reply = platform_wire.ReadReply(records, 9_123_456, 9_000_000, 9_123_456)
    return len(msgspec.json.encode(reply))


def _encoded_read_bytes(records: tuple[zone_records.ZoneRecord, ...]) -> int:
    return _read_bytes([codec.encode(record) for record in records])


def _config_bytes(teams: int, assumed: sizes.Assumptions) -> int:
    record = configuration.make_record(
        'record', 7_299, 'operator', samples.config_sheet(teams, assumed), 0.0
    )
    return _read_bytes([configuration.encode(record)])


def _renew_bytes(tasks: int) -> int:
    names = [f'{samples.job_id(n)}/{n}' for n in range(tasks)]
    return len(msgspec.json.encode(endpoint_wire.RenewRequest(names, 12.0)))


def _host_entry_bytes() -> float:
    entries = [
        platform_wire.build_endpoint_entry(samples.endpoint(number))
        for number in range(100)
    ]
    reply = platform_wire.HostsReply(entries, [])
    return len(msgspec.json.encode(reply)) / len(entries)


def _start_request_bytes(assumed: sizes.Assumptions) -> int:
    request = samples.start_request(7, assumed.payload_bytes)
    return len(msgspec.json.encode(endpoint_wire.build_start_entry(request)))


def _ended_run_bytes(assumed: sizes.Assumptions) -> int:
    request = samples.start_request(7, assumed.payload_bytes)
    run = samples.ended_run(request, assumed.answer_bytes)
    return len(msgspec.json.encode(endpoint_wire.build_run_entry(run)))


class _EmptyHandler(server.Handler):
    async def handle(
        self, req: http_messages.Request
    ) -> http_messages.Response:
        """Return an empty response."""
        return http_messages.Response(200)


async def _request_head() -> int:
    """Return the bytes of the request head that the client sends."""
    listener = curio.network.tcp_server_socket('127.0.0.1', 0)
    port = listener.getsockname()[1]
    pool = client.Pool('127.0.0.1', port, limits.DEFAULT, 1)
    calling = await curio.spawn(_call_until_closed, pool)
    sock, _ = await listener.accept()
    head = await sock.recv(65_536)
    await sock.close()
    await listener.close()
    await calling.join()
    return len(head)


async def _call_until_closed(pool: client.Pool) -> None:
    try:
        await pool.call('POST', '/renew', body=b'', timeout=5.0)
    except Exception:
        await pool.close()


async def _response_head() -> int:
    """Return the bytes of the server's response head."""
    srv = server.Server(_EmptyHandler())
    port = await srv.listen('127.0.0.1', 0)
    serving = await curio.spawn(srv.serve)
    sock = await curio.open_connection('127.0.0.1', port)
    await sock.sendall(b'GET / HTTP/1.1\r\nhost: 127.0.0.1\r\n\r\n')
    head = await sock.recv(65_536)
    await sock.close()
    await serving.cancel()
    return len(head)


def measure(shape: sizes.Shape) -> WireSlopes:
    """Return the bytes of all messages at the size of `shape`."""
    assumed = shape.assumed
    renewal = samples.renewal(round(shape.shards_per_host))
    records = samples.job_records_of(assumed)
    base = _peer_bytes(samples.heartbeat(0, 0))
    teams = shape.target.teams
    config = _config_bytes(teams, assumed)
    more_tasks = MANY_TASKS - FEW_TASKS
    slope = (_renew_bytes(MANY_TASKS) - _renew_bytes(FEW_TASKS)) / more_tasks
    return WireSlopes(
        heartbeat=base,
        heartbeat_load=(_peer_bytes(samples.heartbeat(10, 0)) - base) / 10,
        known_host=(_peer_bytes(samples.heartbeat(0, 10)) - base) / 10,
        small_call=_peer_bytes(
            messages.CommitRequest('0123456789abcdef', 'a', 0)
        ),
        http_pair=curio.run(_request_head) + curio.run(_response_head),
        start_order=_start_request_bytes(assumed),
        ended_run=_ended_run_bytes(assumed),
        renew_call=_renew_bytes(0),
        renew_task=slope,
        renewal_append=_append_bytes((renewal,)),
        renewal_read=_encoded_read_bytes((renewal,)),
        job_append=_append_bytes(records),
        job_read=_encoded_read_bytes(records),
        host_entry=_host_entry_bytes(),
        config_read=config,
        config_team=(config - _config_bytes(0, assumed)) / teams,
    )
