"""Describe what is known of one entry host."""

import dataclasses

from hibiscusslip.model import places


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Hold what this host knows of another one.

    `alive` is False while it is suspected; `draining` is only ever true
    when the host said so itself, `leaving` is the host list's word.
    """

    host: places.HostId
    zone: str
    address: str = ''
    port: int = 0
    alive: bool = True
    draining: bool = False
    leaving: bool = False
