"""Count what happens on the links."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Counts:
    """Hold totals since the process started."""

    calls: int = 0
    handled: int = 0
    late_replies: int = 0
    busy: int = 0
    links_made: int = 0
    links_lost: int = 0
    hellos_refused: int = 0
    dropped_replies: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    writes: int = 0
