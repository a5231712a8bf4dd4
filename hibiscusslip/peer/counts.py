"""Define the counters of the links."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Counts:
    """Store totals since the start of the process.

    `busy` counts the calls that were refused at the limit of calls in
    flight, `late_replies` the replies that arrived after their call had
    timed out, `dropped_replies` the calls without a reply because the
    handler failed or the link had closed. `links_refused` counts those that
    were closed at the limit of connections, or made room for a new one.
    """

    calls: int = 0
    handled: int = 0
    late_replies: int = 0
    busy: int = 0
    links_made: int = 0
    links_lost: int = 0
    links_refused: int = 0
    hellos_refused: int = 0
    dropped_replies: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    writes: int = 0
