"""Define the limits of HTTP servers and clients."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Store the limits of a server or a client; times are in seconds.

    A request has to arrive within `read_timeout` plus the time that its
    body needs at `min_bytes_per_s`, which is the slowest rate for the body
    of a response as well. The peer has to accept each chunk of a
    response within `write_timeout`. A connection without a request is
    closed after `idle_timeout`. While draining, idle connections stay open
    for `drain_idle_timeout`, so that requests in transit are still served.
    After the last response, input is read and discarded for up to `linger`.
    Overdue connections are detected every `sweep_interval`. With
    `max_connections` open, one that has been idle or slow for `evict_after`
    is closed for a new one; else the new one is refused, of which
    `max_refusals` are told so at a time.
    """

    max_header_bytes: int = 16 * 1024
    max_header_fields: int = 100
    max_body_bytes: int = 8 * 1024 * 1024
    read_timeout: float = 10.0
    write_timeout: float = 10.0
    idle_timeout: float = 75.0
    connect_timeout: float = 3.0
    min_bytes_per_s: int = 16 * 1024
    max_connections: int = 1024
    max_refusals: int = 64
    evict_after: float = 0.5
    backlog: int = 512
    drain_idle_timeout: float = 0.5
    linger: float = 2.0
    sweep_interval: float = 0.25
    tcp_user_timeout: float = 5.0


DEFAULT = Limits()
