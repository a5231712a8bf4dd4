"""Run the daemon of an entry host behind the proxy.

Hosts announce their own listening addresses to peers, which would bypass the
proxy. This daemon uses only the addresses on the host list of its zone, as
behind a NAT.
"""

import sys

from hibiscusslip.membership import members
from hibiscusslip.node import __main__ as daemon


class ListedMembers(members.Members):
    """Use only the peer addresses from the host list."""

    def on_listing(self, entry_hosts, now):
        """Store the listed addresses and apply the list."""
        self._listed = {
            info.name: (info.address, info.port) for info in entry_hosts
        }
        return super().on_listing(entry_hosts, now)

    def tick(self, now):
        """Restore the listed addresses before heartbeats are sent."""
        listed = getattr(self, '_listed', {})
        for peer in self._peers.values():
            peer.address, peer.port = listed.get(peer.name, ('', 0))
        return super().tick(now)


if __name__ == '__main__':
    members.Members = ListedMembers
    sys.exit(daemon.main())
