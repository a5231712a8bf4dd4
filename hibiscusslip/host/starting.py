"""Start a host from the settings file that the platform provides."""

import os
import secrets
import sys
import zlib

import curio

from hibiscusslip.dispatch import policy
from hibiscusslip.host import call_load
from hibiscusslip.host import context
from hibiscusslip.host import host
from hibiscusslip.host import loop_watch
from hibiscusslip.host import options
from hibiscusslip.host import ownership
from hibiscusslip.http import connection_budget
from hibiscusslip.http import uplink as uplinks
from hibiscusslip.observe import events
from hibiscusslip.observe import logs
from hibiscusslip.observe import prometheus
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import settings
from hibiscusslip.platform import store

SECRET_VARIABLE = 'HIBISCUSSLIP_PEER_SECRET'
EXIT_SETTINGS = 2
EXIT_LOOP_ENDED = 3
# Of the descriptors; the rest is for callers, peers and the store, and for
# the connections that calls in progress need.
KEPT_CONNECTIONS_SHARE = 0.5


def main() -> int:
    """Run a host; return the exit status."""
    path = os.environ.get(settings.FILE_VARIABLE, '')
    secret = os.environ.get(SECRET_VARIABLE, '').encode()
    try:
        cfg = settings.load(path)
        chosen = options.read_options(os.environ)
    except (exceptions.SettingsInvalid, options.OptionInvalid) as exc:
        print(exc, file=sys.stderr)
        return EXIT_SETTINGS
    logs.configure('WARNING', True, cfg.name)
    ctx = make_context(cfg, chosen)
    watch = loop_watch.LoopWatch(ctx)
    curio.run(host.Host(ctx, secret, path).run, activations=[watch])
    return 0 if ctx.stopping else EXIT_LOOP_ENDED


def make_context(
    cfg: settings.HostSettings, chosen: policy.Options = policy.Options()
) -> context.Context:
    """Return the context that the parts of a host share."""
    incarnation = secrets.token_hex(4)
    tie_break = zlib.crc32(cfg.name.encode()) / 2**32
    cores = cfg.cpu_share * cfg.cores
    host_strength = ownership.strength(cores, cfg.link_mbps)
    uplink = uplinks.Uplink(cfg.link_mbps)
    return context.Context(
        cfg=cfg,
        incarnation=incarnation,
        store=store.Store(cfg.store, uplink),
        uplink=uplink,
        log=events.open_log(cfg.name),
        metrics=prometheus.Metrics(),
        ownership=ownership.Ownership(
            cfg.name,
            incarnation,
            host_strength,
            tie_break,
            descriptors=cfg.max_descriptors,
            max_lease=cfg.bounds.max_lease,
        ),
        options=chosen,
        endpoint_connections=connection_budget.ConnectionBudget(
            int(cfg.max_descriptors * KEPT_CONNECTIONS_SHARE),
            int(cfg.max_descriptors * ownership.ENDPOINT_DESCRIPTORS_SHARE),
        ),
        endpoint_calls=call_load.CallLoad(cores * call_load.CALLS_PER_CORE_S),
    )
