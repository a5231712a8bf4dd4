"""Define the error that the HTTP APIs respond with."""

import typing


class APIError(Exception):
    """Raise to respond with problem details.

    `status` is the HTTP status, `code` the machine-readable problem type
    and `detail` the cause and remedy for people. `retry_after` is in
    seconds, `extra` has more members of the document and `headers` more
    header fields of the response.
    """

    def __init__(
        self,
        status: int,
        code: str,
        detail: str,
        retry_after: float | None = None,
        extra: dict[str, typing.Any] | None = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail
        self.retry_after = retry_after
        self.extra = extra or {}
        self.headers = headers or {}
