"""Name what a request can be refused for."""

import typing


class Refusal(Exception):
    """Raise to answer a request with problem details.

    `code` names the kind of problem for programs, `detail` tells people
    the cause and the remedy, `retry_after` is in seconds, `extra` holds
    further members of the document, `headers` further header fields.
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
