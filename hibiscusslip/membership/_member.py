"""Define the public view of one entry host."""

import dataclasses

from hibiscusslip.model import places


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Represent what this host knows of a peer.

    `alive` is False while the peer is suspected. `draining` is what the peer
    itself reported, `leaving` what the host list shows.
    """

    host: places.HostId
    zone: str
    address: str = ''
    port: int = 0
    alive: bool = True
    draining: bool = False
    leaving: bool = False
