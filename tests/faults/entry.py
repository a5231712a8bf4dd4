"""Run the daemon of an entry host behind the proxy.

Hosts tell neighbours where they listen, which would lead past the proxy, so
this one keeps to the addresses on its zone's host list, as behind a NAT.
"""

import sys

from hibiscusslip.membership import members
from hibiscusslip.node import __main__ as daemon


class ListedMembers(members.Members):
    """Take addresses of hosts from the host list only."""

    def on_listing(self, entry_hosts, now):
        """Keep the listed addresses and take the list in."""
        self._listed = {
            info.name: (info.address, info.port) for info in entry_hosts
        }
        return super().on_listing(entry_hosts, now)

    def tick(self, now):
        """Set the listed addresses before heartbeats leave."""
        listed = getattr(self, '_listed', {})
        for peer in self._peers.values():
            peer.address, peer.port = listed.get(peer.name, ('', 0))
        return super().tick(now)


if __name__ == '__main__':
    members.Members = ListedMembers
    sys.exit(daemon.main())
