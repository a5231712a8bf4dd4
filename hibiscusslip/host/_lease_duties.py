"""Do what an owner owes its predecessor and its successors about leases."""

import collections.abc

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.host import context
from hibiscusslip.host import crash_logging
from hibiscusslip.host import lease_handover
from hibiscusslip.host import lease_peers
from hibiscusslip.host import recovery


class LeaseDuties:
    """Keep the promises about leases of one epoch of the ownership."""

    def __init__(
        self,
        ctx: context.Context,
        epoch: int,
        handover: lease_handover.LeaseHandover,
        peers: lease_peers.LeasePeers | None,
    ) -> None:
        self._ctx = ctx
        self._epoch = epoch
        self._handover = handover
        self._peers = peers
        self._was_held_back = True

    def loops(self, engine: engines.Engine) -> list[crash_logging.Loop]:
        """Return the loops that ask other hosts about leases."""
        if self._peers is None:
            return []

        def shorten() -> None:
            recovery.shorten_waits(self._ctx, engine)

        return [
            lease_peers.Vouching(self._ctx, self._peers, self._epoch).run,
            lease_peers.FormerOwner(
                self._ctx, self._peers, self._epoch, shorten
            ).run,
        ]

    def take_lifted(
        self, names: collections.abc.Iterable[str]
    ) -> collections.abc.Iterable[str]:
        """Return those endpoints whose leases may be extended from now on."""
        lifted = self._handover.lift_promises()
        held_back = self._ctx.ownership.renewal.held_back
        begins = self._was_held_back and not held_back
        self._was_held_back = held_back
        return list(names) if begins else lifted
