"""Define HTTP requests and responses."""

import collections.abc
import dataclasses

import msgspec

Body = bytes | collections.abc.AsyncIterator[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Represent a complete request; header names are lower case.

    `path` is percent-decoded, `peer` the client's address and port.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Represent a response; header names are lower case.

    A body that is an async iterator is streamed: each item is sent as soon
    as it is produced.
    """

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: Body = b''

    @property
    def content(self) -> bytes:
        """Return the bytes of a body that isn't streamed."""
        assert isinstance(self.body, bytes)
        return self.body


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """Represent how much of a response has arrived.

    `received` are the bytes of its body, `expected` is the length that its
    head announced. `first_byte_after` is in seconds after the call began.
    """

    received: int = 0
    expected: int | None = None
    first_byte_after: float | None = None


NO_TRANSFER = Transfer()


def problem_response(status: int, title: str, detail: str) -> Response:
    """Return a problem-details response (RFC 9457).

    `detail` says what is wrong and how to correct it.
    """
    body = msgspec.json.encode(
        {'status': status, 'title': title, 'detail': detail}
    )
    return Response(status, {'content-type': 'application/problem+json'}, body)
