"""Build a node and its listeners from settings."""

import dataclasses
import random
import secrets

from hibiscusslip import settings
from hibiscusslip.endpoint import http_endpoint
from hibiscusslip.jobs import engine as jobs_engine
from hibiscusslip.membership import pacing
from hibiscusslip.model import places
from hibiscusslip.node import config
from hibiscusslip.node import node as node_
from hibiscusslip.observe import metrics
from hibiscusslip.observe import traces
from hibiscusslip.ownership import timing
from hibiscusslip.peer import hello
from hibiscusslip.peer import limits as peer_limits
from hibiscusslip.peer import links
from hibiscusslip.peer import server as peer_server
from hibiscusslip.platform import http_hosts
from hibiscusslip.platform import http_log
from hibiscusslip.scheduler import limits as scheduler_limits

MAX_PENDING_CALLS = 4096
CONTACT_LOST_FRACTION = 0.5
INCARNATION_BYTES = 6
METRICS_PREFIX = 'hibiscusslip'


@dataclasses.dataclass(frozen=True, slots=True)
class Assembled:
    """Store a node and the server that accepts its peers' links."""

    node: node_.Node
    peers: peer_server.PeerServer


def make_node_config(
    cfg: settings.Settings, me: places.HostId, unix_offset: float
) -> config.NodeConfig:
    """Return the node's configuration from the settings.

    `unix_offset` is Unix time minus the monotonic clock, in seconds.
    """
    zones = cfg.host.zones
    shard_count = len(zones) * cfg.shards_per_zone
    return config.NodeConfig(
        me=me,
        region=cfg.host.region,
        zone=cfg.host.zone,
        zones=zones,
        shards_per_zone=cfg.shards_per_zone,
        timing=_make_timing(cfg.timing),
        pacing=_make_pacing(cfg.timing),
        hold=cfg.timing.hold,
        engine=_make_engine_config(cfg.timing),
        scheduler=scheduler_limits.Limits(
            max_queued=cfg.limits.max_queued_jobs,
            unix_offset=unix_offset,
            quota_fraction=1.0 / shard_count,
        ),
        host_list_interval=cfg.platform.host_list_interval,
    )


def _make_timing(cfg: settings.Timing) -> timing.Timing:
    return timing.Timing(
        lease=cfg.lease,
        promise=cfg.promise,
        drift=cfg.drift,
        margin=cfg.margin,
        settle=cfg.settle,
        renew_interval=cfg.renew_interval,
        promise_interval=cfg.promise_interval,
        heartbeat=cfg.heartbeat_interval,
        stagger=cfg.stagger,
        snapshot_interval=cfg.snapshot_interval,
        list_lag=cfg.list_lag,
    )


def _make_pacing(cfg: settings.Timing) -> pacing.Pacing:
    return pacing.Pacing(
        heartbeat=cfg.heartbeat_interval,
        suspect_after=cfg.suspect_after,
        foreign_heartbeat=cfg.foreign_heartbeat_interval,
        foreign_suspect_after=cfg.foreign_suspect_after,
        list_lag=cfg.list_lag,
    )


def _make_engine_config(cfg: settings.Timing) -> jobs_engine.EngineConfig:
    return jobs_engine.EngineConfig(
        worker_lease=cfg.task_lease,
        settle=cfg.settle,
        clock_drift=cfg.drift,
        contact_lost_after=cfg.task_lease * CONTACT_LOST_FRACTION,
    )


def make_peer_keys(keys: tuple[settings.Key, ...]) -> hello.Keys:
    """Return the keys shared by entry hosts, the signing key first."""
    return hello.Keys({key.key_id: key.secret for key in keys})


def build(cfg: settings.Settings, unix_offset: float) -> Assembled:
    """Build the node and its peer server; nothing listens or runs yet.

    `unix_offset` is Unix time minus the monotonic clock, in seconds.
    """
    me = places.HostId(cfg.host.name, secrets.token_hex(INCARNATION_BYTES))
    info = hello.HelloInfo(cfg.host.zone, cfg.host.region, cfg.shards_per_zone)
    keys = make_peer_keys(cfg.keys.peers)
    limits = peer_limits.Limits(
        max_pending_calls=MAX_PENDING_CALLS,
        max_in_flight=MAX_PENDING_CALLS,
        tcp_user_timeout=cfg.timing.send_timeout,
    )
    peers = links.PeerLinks(me, info, keys, limits)
    for seed in cfg.seeds:
        peers.set_address(seed.name, seed.address, seed.port)
    log = cfg.platform.log
    host_list = cfg.platform.host_list
    dependencies = node_.Dependencies(
        http_log.HttpLog(log.address, log.port),
        http_hosts.HttpHostList(host_list.address, host_list.port),
        peers,
        lambda endpoint: _connect(endpoint, cfg.timing.send_timeout),
        cfg.platform.log_retention,
        _make_tracer(cfg),
        _make_metrics(cfg),
    )
    node = node_.Node(
        make_node_config(cfg, me, unix_offset), dependencies, random.Random()
    )
    for seed in cfg.seeds:
        node.membership.add_seed(seed.name, seed.zone, seed.address, seed.port)
    server = peer_server.PeerServer(me, info, keys, limits, node.handler)
    return Assembled(node, server)


def _make_tracer(cfg: settings.Settings) -> traces.Tracer:
    to_file = cfg.observe.trace_exporter is settings.TraceExporter.FILE
    path = cfg.observe.trace_file if to_file else ''
    return traces.create_tracer(path, cfg.host.name)


def _make_metrics(cfg: settings.Settings) -> metrics.Metrics:
    statsd = cfg.observe.statsd
    if statsd is None:
        return metrics.NoMetrics()
    prefix = f'{METRICS_PREFIX}.{cfg.host.name}'
    return metrics.create_metrics(statsd.address, statsd.port, prefix)


def _connect(
    endpoint: places.EndpointInfo, timeout: float
) -> http_endpoint.HttpEndpoint:
    return http_endpoint.HttpEndpoint(endpoint.address, endpoint.port, timeout)
