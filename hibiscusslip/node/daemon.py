"""Run the daemon of an entry host until it is asked to stop."""

import dataclasses
import gc
import sys

import curio
from loguru import logger

from hibiscusslip import settings
from hibiscusslip.caller import handler as caller_handler
from hibiscusslip.http import limits as http_limits
from hibiscusslip.http import server as http_server
from hibiscusslip.node import assembly
from hibiscusslip.node import caller_service
from hibiscusslip.node import client_intake
from hibiscusslip.node import clock
from hibiscusslip.node import operator_service
from hibiscusslip.node import signals
from hibiscusslip.observe import logs
from hibiscusslip.operator import handler as operator_handler
from hibiscusslip.operator import signing

USAGE = 'usage: python -m hibiscusslip.node --settings FILE'
USAGE_EXIT = 2
CRASH_EXIT = 70
# Part of the drain grace after which waiting callers get their job's present
# state; the rest is left to send these responses.
CLOSE_FRACTION = 0.8
STOP_POLL_SECONDS = 0.2


def make_http_limits(cfg: settings.Limits) -> http_limits.Limits:
    """Return the limits of the listeners for callers and operators."""
    return http_limits.Limits(
        max_header_bytes=cfg.max_header_bytes,
        max_body_bytes=cfg.max_body_bytes,
        read_timeout=cfg.read_timeout,
        write_timeout=cfg.write_timeout,
        idle_timeout=cfg.idle_timeout,
        max_connections=cfg.max_connections,
    )


class Daemon:
    """Run the node and its listeners until asked to stop."""

    def __init__(self, cfg: settings.Settings) -> None:
        self._cfg = cfg
        offset = clock.wall_time() - clock.now()
        assembled = assembly.build(cfg, offset)
        self._node = assembled.node
        self._peers = assembled.peers
        self._service = caller_service.CallerService(self._node)
        limits = cfg.limits
        handler = caller_handler.CallerHandler(
            self._service,
            caller_handler.SubmissionLimits(
                limits.max_jobs_per_request,
                limits.max_tasks_per_job,
                limits.max_wait,
            ),
            limits.peer_calls_per_second,
            limits.team_jobs_per_second,
        )
        sender = self._node.dependencies.metrics_sender
        bounds = make_http_limits(limits)
        self._callers = http_server.Server(
            handler,
            bounds,
            client_intake.ClientIntake(
                limits.max_client_bytes, 'callers', sender
            ),
        )
        verifier = signing.Verifier(
            {key.key_id: key.secret for key in cfg.keys.operators}
        )
        fleet_service = operator_service.OperatorService(
            self._node, self._node.dependencies.log
        )
        self._operators = http_server.Server(
            operator_handler.OperatorHandler(fleet_service, verifier),
            dataclasses.replace(
                bounds,
                max_connections=min(
                    limits.max_connections, client_intake.OPERATOR_CONNECTIONS
                ),
            ),
            client_intake.ClientIntake(
                int(limits.max_client_bytes * client_intake.OPERATORS_SHARE),
                'operators',
                sender,
            ),
        )

    async def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then stop gracefully.

        Returns the exit code. A host whose loop has crashed exits at once.
        """
        stop = signals.StopSignals()
        listen = self._cfg.listeners
        port = await self._peers.listen(
            listen.peers.address, listen.peers.port
        )
        callers_port = await self._callers.listen(
            listen.callers.address, listen.callers.port
        )
        await self._operators.listen(
            listen.operators.address, listen.operators.port
        )
        guard = self._node.supervisor.guard
        await curio.spawn(guard, self._operators.serve, daemon=True)
        await curio.spawn(guard, self._peers.serve, daemon=True)
        await self._node.start(listen.peers.address, port)
        await curio.spawn(guard, self._callers.serve, daemon=True)
        # Objects loaded so far live as long as the process, so later garbage
        # collections skip them.
        gc.collect()
        gc.freeze()
        logger.info(
            'serving callers on {}:{}, peers on port {}',
            listen.callers.address,
            callers_port,
            port,
        )
        supervisor = self._node.supervisor
        while not (stop.received or self._node.stop_requested):
            if supervisor.crashed:
                return CRASH_EXIT
            await curio.sleep(STOP_POLL_SECONDS)
        await self._stop()
        return 0

    async def _stop(self) -> None:
        """Transfer all shards and answer all requests in flight."""
        grace = self._cfg.timing.drain_grace
        logger.info('stopping within {} s', grace)
        self._service.set_close_deadline(clock.now() + CLOSE_FRACTION * grace)
        draining = await curio.spawn(self._node.drain, grace)
        aborted = await self._callers.drain(grace)
        transferred = await draining.join()
        if aborted or not transferred:
            logger.warning(
                '{} requests were aborted, all shards transferred: {}',
                aborted,
                transferred,
            )
        await self._node.stop()
        await self._node.announce_stopped()
        await self._peers.close()
        logger.info('stopped')


def main() -> int:
    """Read the settings file and run the daemon; return the exit code.

    `hibiscusslip-entry` starts this.
    """
    match sys.argv[1:]:
        case ['--settings', path]:
            pass
        case _:
            print(USAGE, file=sys.stderr)
            return USAGE_EXIT
    try:
        cfg = settings.load(path)
    except settings.SettingsError as exc:
        print(exc, file=sys.stderr)
        return USAGE_EXIT
    keys = cfg.keys.peers + cfg.keys.operators
    logs.configure(
        cfg.observe.log_level,
        cfg.observe.log_json,
        cfg.host.name,
        [key.secret.decode(errors='replace') for key in keys],
    )
    return int(curio.run(Daemon(cfg).run))
