"""Run what a node does in fixed intervals."""

import curio
from loguru import logger

from hibiscusslip.node import fleet
from hibiscusslip.node import membership_driver
from hibiscusslip.node import remote_starts
from hibiscusslip.node import sheet_reconciler
from hibiscusslip.platform import base as platform_base
from hibiscusslip.platform import exceptions as platform_exceptions

READY_POLL_SECONDS = 0.1
SHEET_INTERVAL_SECONDS = 0.5


class PeriodicLoops:
    """Poll the host list and other shards; start shards and sheet jobs.

    `host_list_interval` is in seconds.
    """

    def __init__(
        self,
        host_list: platform_base.HostList,
        host_list_interval: float,
        membership: membership_driver.MembershipDriver,
        shards: fleet.Fleet,
        reconciler: sheet_reconciler.SheetReconciler,
        remote: remote_starts.RemoteStarts,
    ) -> None:
        self._host_list = host_list
        self._host_list_interval = host_list_interval
        self._membership = membership
        self._fleet = shards
        self._reconciler = reconciler
        self._remote = remote

    async def poll_host_list(self) -> None:
        """Fetch the host list until cancelled."""
        while True:
            try:
                listing = await self._host_list.fetch()
            except platform_exceptions.PlatformError as exc:
                logger.debug('the host list was not fetched: {}', exc)
            else:
                self._membership.handle_host_list(listing)
                await self._fleet.set_endpoints(listing.endpoints)
            await curio.sleep(self._host_list_interval)

    async def start_ready_shards(self) -> None:
        """Start acquired shards as their leases allow it."""
        while True:
            await self._fleet.start_ready()
            await curio.sleep(READY_POLL_SECONDS)

    async def reconcile_sheet(self) -> None:
        """Keep the jobs of the sheet as it describes them."""
        while True:
            for runner in list(self._fleet.runners.values()):
                await self._reconciler.reconcile(runner)
            await curio.sleep(SHEET_INTERVAL_SECONDS)

    async def poll_remote_tasks(self) -> None:
        """Poll other shards for the tasks that were offloaded to them."""
        while True:
            for runner in list(self._fleet.runners.values()):
                await self._remote.poll(runner)
            await curio.sleep(remote_starts.POLL_INTERVAL_SECONDS)
