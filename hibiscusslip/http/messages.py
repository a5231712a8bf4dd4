"""Describe HTTP requests and responses."""

import collections.abc
import dataclasses

import msgspec

Body = bytes | collections.abc.AsyncIterator[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Hold one whole request; header names are lower case.

    `peer` is the address and port that the request came from.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Hold a response; header names are lower case.

    A body that is an async iterator is sent piece by piece as it comes.
    """

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: Body = b''

    @property
    def content(self) -> bytes:
        """Return a body that isn't streamed."""
        assert isinstance(self.body, bytes)
        return self.body


def problem_response(status: int, title: str, detail: str) -> Response:
    """Return a problem-details response; `detail` names the remedy."""
    body = msgspec.json.encode(
        {'status': status, 'title': title, 'detail': detail}
    )
    return Response(status, {'content-type': 'application/problem+json'}, body)
