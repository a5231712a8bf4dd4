"""Define the limits of the links between entry hosts."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Store the limits of links; sizes in bytes, times in seconds.

    `max_pending_calls` bounds the calls of one link that wait for a reply,
    `max_in_flight` those that the server handles at a time,
    `max_unauthenticated` the accepted connections without a completed
    handshake, each of which may send `max_handshake_bytes`. At that limit, one
    that hasn't completed it within `evict_after` is closed for a new one. A
    handler may run for `handler_grace` longer than its caller
    waits.
    """

    max_frame_bytes: int = 1024 * 1024
    max_queue_bytes: int = 4 * 1024 * 1024
    max_write_bytes: int = 64 * 1024
    max_pending_calls: int = 256
    max_in_flight: int = 64
    max_links: int = 256
    max_unauthenticated: int = 32
    max_handshake_bytes: int = 16 * 1024
    evict_after: float = 0.1
    connect_timeout: float = 3.0
    hello_timeout: float = 3.0
    write_timeout: float = 10.0
    tcp_user_timeout: float = 5.0
    idle_timeout: float = 60.0
    max_call_time: float = 120.0
    handler_grace: float = 5.0
    busy_retry_after: float = 0.2
    min_backoff: float = 0.05
    max_backoff: float = 2.0
