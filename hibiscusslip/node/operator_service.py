"""Serve operators: query all hosts and merge their replies."""

import curio
import msgspec

from hibiscusslip import configuration
from hibiscusslip.jobs import identity
from hibiscusslip.node import acceptor
from hibiscusslip.node import clock
from hibiscusslip.node import host_view
from hibiscusslip.node import node as node_
from hibiscusslip.operator import exceptions
from hibiscusslip.operator import service
from hibiscusslip.operator import views
from hibiscusslip.peer import exceptions as peer_exceptions
from hibiscusslip.peer import messages
from hibiscusslip.platform import base as platform_base

CALL_TIMEOUT_SECONDS = 2.0
PUBLISH_TIMEOUT_SECONDS = 10.0


class OperatorService(service.FleetService):
    """Execute operators' requests on this host and all reachable peers."""

    def __init__(self, node: node_.Node, log: platform_base.Log) -> None:
        self._node = node
        self._log = log
        self._local = host_view.HostView(node)
        self._local.register_handlers()

    async def _call_all(
        self, body: messages.PeerMessage
    ) -> dict[str, messages.PeerMessage | None]:
        """Call all peers concurrently; None stands for no reply."""
        replies: dict[str, messages.PeerMessage | None] = {}

        async def call(host: str) -> None:
            replies[host] = await self._call(host, body)

        async with curio.TaskGroup() as group:
            for member in self._node.membership.get_peers():
                await group.spawn(call, member.host.name)
        return replies

    async def _call(
        self, host: str, body: messages.PeerMessage
    ) -> messages.PeerMessage | None:
        peers = self._node.dependencies.peers
        try:
            return await peers.call(host, body, CALL_TIMEOUT_SECONDS)
        except peer_exceptions.PeerError:
            return None

    async def status(self) -> views.FleetStatus:
        """Return the status of the fleet, with unreachable hosts listed."""
        hosts = [self._local.view()]
        replies = await self._call_all(messages.StatusQuery())
        for member in self._node.membership.get_peers():
            reply = replies.get(member.host.name)
            if isinstance(reply, messages.HostStatus):
                hosts.append(views.decode_host(reply.document))
            else:
                hosts.append(
                    views.HostView(
                        member.host.name,
                        member.zone,
                        views.HostCondition.UNREACHABLE,
                    )
                )
        current = self._node.config.tracker.current
        version = current.version if current else 0
        author = current.author if current else ''
        return views.merge(version, author, hosts)

    async def history(self, limit: int) -> list[service.Event]:
        """Return up to `limit` events of all reachable hosts, newest first."""
        events = self._node.history.latest(limit)
        replies = await self._call_all(messages.EventsQuery(limit))
        for reply in replies.values():
            if isinstance(reply, messages.HostStatus):
                events.extend(
                    msgspec.json.decode(
                        reply.document, type=list[service.Event]
                    )
                )
        events.sort(key=lambda event: event.at, reverse=True)
        return events[:limit]

    async def drain_host(self, host: str) -> service.DrainState:
        """Start a graceful stop of an entry host.

        Raises UnknownTarget, or OutcomeUnknown if the host did not reply.
        """
        if host == self._node.cfg.me.name:
            self._node.stop_requested = True
        elif host not in self._peer_names():
            raise exceptions.UnknownTarget(
                f'no entry host is named {host!r}; see the status for names'
            )
        elif await self._call(host, messages.StopHost()) is None:
            raise exceptions.OutcomeUnknown(
                f'{host} did not answer; see the status whether it drains'
            )
        detail = 'it hands its shards over, answers its callers and stops'
        return service.DrainState(host, False, detail)

    def _peer_names(self) -> set[str]:
        return {m.host.name for m in self._node.membership.get_peers()}

    async def drain_endpoint(self, endpoint: str) -> service.DrainState:
        """Start or continue to drain an endpoint and return its progress.

        Raises UnknownTarget if no reachable host owns the endpoint.
        """
        progress = self._local.get_drain_progress(endpoint)
        if progress.known:
            await self._node.drain_endpoint(endpoint)
            return _make_drain_state(endpoint, progress)
        replies = await self._call_all(messages.DrainEndpoint(endpoint))
        for reply in replies.values():
            if isinstance(reply, messages.EndpointDraining) and reply.known:
                return _make_drain_state(endpoint, reply)
        raise exceptions.UnknownTarget(
            f'no reachable host owns an endpoint {endpoint!r}; check the name'
        )

    async def select(self, selector: service.Selector) -> service.Selection:
        """Return the number of matching jobs and a sample of them."""
        count, sample, unreachable = await self._select(selector, False)
        return service.Selection(
            count, sample[: host_view.MAX_SAMPLE], unreachable
        )

    async def cancel(
        self, selector: service.Selector, at_most: int
    ) -> service.Cancellation:
        """Cancel all matching jobs.

        Raises SelectionGrew if more than `at_most` jobs match by now.
        """
        count, _, _ = await self._select(selector, False)
        if count > at_most:
            raise exceptions.SelectionGrew(
                f'{count} jobs match now, more than {at_most}; look at them'
                ' again before you cancel'
            )
        count, _, unreachable = await self._select(selector, True)
        return service.Cancellation(count, unreachable)

    async def _select(
        self, selector: service.Selector, cancel: bool
    ) -> tuple[int, list[service.JobSummary], list[str]]:
        local = self._local.select(selector, cancel)
        if cancel:
            await self._node.fleet.wake()
        count, sample = local.count, list(local.sample)
        unreachable = []
        body = messages.SelectJobs(
            selector.team,
            selector.kind,
            selector.workload,
            selector.outcome,
            cancel,
        )
        for host, reply in (await self._call_all(body)).items():
            if not isinstance(reply, messages.HostStatus):
                unreachable.append(host)
                continue
            part = msgspec.json.decode(
                reply.document, type=host_view.LocalSelection
            )
            count += part.count
            sample.extend(part.sample)
        return count, sample, sorted(unreachable)

    async def explain(self, job_id: str) -> list[str]:
        """Return a job's outcome and event history, the oldest event first.

        Raises UnknownTarget.
        """
        try:
            job_history = await self._node.acceptor.explain(job_id)
        except (identity.BadJobId, acceptor.RequestFailed) as exc:
            raise exceptions.UnknownTarget(str(exc)) from exc
        return [f'{job_history.outcome}', *job_history.lines]

    async def current(self) -> configuration.ConfigRecord | None:
        """Return the configuration in force on this host."""
        return self._node.config.tracker.current

    async def apply(
        self, proposal: service.ConfigProposal
    ) -> configuration.Publication:
        """Publish a configuration and return the result."""
        record = configuration.make_record(
            proposal.record_id,
            proposal.made_from,
            proposal.author,
            proposal.content,
            clock.wall_time(),
            proposal.after_gap,
        )
        return await configuration.publish(
            self._log,
            self._node.config.tracker.view(),
            record,
            clock.now,
            PUBLISH_TIMEOUT_SECONDS,
        )

    async def config_versions(self) -> list[service.HostConfigVersion]:
        """Return the version in force on each host."""
        status = await self.status()
        return [
            service.HostConfigVersion(
                host.name,
                host.zone,
                host.condition is not views.HostCondition.UNREACHABLE,
                host.config_version,
            )
            for host in status.hosts
        ]


def _make_drain_state(
    endpoint: str, progress: messages.EndpointDraining
) -> service.DrainState:
    done = progress.running == 0
    detail = f'{progress.running} tasks still run on it; it gets no new ones'
    return service.DrainState(endpoint, done, detail)
