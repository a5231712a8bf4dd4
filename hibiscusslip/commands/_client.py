"""Call entry hosts for the command line programs."""

import collections.abc
import dataclasses
import math
import secrets
import time
import typing
import urllib.parse

import curio
import msgspec

from hibiscusslip.commands import exceptions
from hibiscusslip.http import client
from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import messages
from hibiscusslip.operator import signing

NONCE_BYTES = 16
# A call that waits on the host needs a little longer itself.
WAIT_SLACK_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Hold the address and port of an entry host."""

    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Signer:
    """Hold a key for signing operators' calls."""

    key_id: str
    secret: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Hold one call to make; `wait` is how long the host may take."""

    method: str
    path: str
    query: dict[str, str] = dataclasses.field(default_factory=dict)
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    wait: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Hold the status, headers and whole body of an answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def good(self) -> bool:
        """Tell whether the call was served."""
        return self.status < 400

    def read(self, model: typing.Any) -> typing.Any:
        """Return the JSON body as `model`; raises CommandError."""
        try:
            return msgspec.json.decode(self.body, type=model)
        except (msgspec.DecodeError, ValueError) as exc:
            raise exceptions.CommandError(
                f'the host gave an answer that can not be read: {exc}; check'
                ' that address and port belong to hibiscusslip',
                exceptions.Exit.UNSETTLED,
            ) from None


class Problem(msgspec.Struct, frozen=True):
    """Hold what matters of a problem document."""

    detail: str = ''
    outcome: str = ''
    job_id: str = ''
    nearest: str = ''
    retry_after: float | None = None


def parse_places(entries: list[str]) -> list[Place]:
    """Return the places that ADDRESS:PORT texts name."""
    places = []
    for text in entries:
        address, _, port = text.rpartition(':')
        if not address or not port.isdigit() or int(port) > 65535:
            raise exceptions.CommandError(
                f'--entry {text!r}: write ADDRESS:PORT',
                exceptions.Exit.USAGE,
            )
        places.append(Place(address.strip('[]'), int(port)))
    return places


def path_of(*parts: str) -> str:
    """Return a path whose parts are quoted."""
    quoted = [urllib.parse.quote(part, safe='') for part in parts]
    return '/' + '/'.join(quoted)


class Client:
    """Call the first of several entry hosts that can be reached."""

    def __init__(
        self,
        places: list[Place],
        timeout: float,
        signer: Signer | None = None,
    ) -> None:
        self._pools = [
            client.Pool(place.address, place.port) for place in places
        ]
        self._timeout = timeout
        self._signer = signer

    async def call(self, call: Call) -> Reply:
        """Return the answer; raises CommandError when there is none."""
        problems = []
        for pool in self._pools:
            try:
                return await self._perform(pool, call)
            except http_exceptions.NotSent as exc:
                problems.append(str(exc))
            except http_exceptions.HttpError as exc:
                raise exceptions.CommandError(
                    f'{exc}; the host may have done it, look before you'
                    ' repeat it',
                    exceptions.Exit.UNSETTLED,
                ) from exc
        raise exceptions.CommandError(
            f'no entry host could be reached ({"; ".join(problems)}); check'
            ' --entry',
            exceptions.Exit.UNREACHABLE,
        )

    async def _perform(self, pool: client.Pool, call: Call) -> Reply:
        query = {name: text for name, text in call.query.items() if text}
        headers = dict(call.headers)
        if self._signer is not None:
            headers[signing.HEADER] = _sign(call, query, self._signer)
        target = call.path
        if query:
            target = f'{target}?{urllib.parse.urlencode(query)}'
        timeout = self._timeout
        if call.wait:
            timeout = max(timeout, call.wait + WAIT_SLACK_S)
        found = await pool.call(
            call.method,
            target,
            body=call.body,
            headers=headers,
            timeout=timeout,
        )
        return Reply(
            found.status, found.headers, typing.cast(bytes, found.body)
        )

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._pools:
            await pool.close()


def run(
    client_: Client,
    work: collections.abc.Callable[
        [Client], collections.abc.Coroutine[typing.Any, typing.Any, int]
    ],
) -> int:
    """Run a command's work with a client and return its exit code."""

    async def main() -> int:
        try:
            return await work(client_)
        finally:
            await client_.close()

    return int(curio.run(main))


async def fetch(client_: Client, call: Call, model: typing.Any) -> typing.Any:
    """Return the document that answers a call; raises CommandError."""
    reply = await client_.call(call)
    if not reply.good:
        raise tell_problem(reply)
    return reply.read(model)


def tell_problem(reply: Reply) -> exceptions.CommandError:
    """Return the error that tells a refused call."""
    problem = reply.read(Problem)
    text = problem.detail or f'the host answered {reply.status}'
    if problem.retry_after is not None:
        text += f' (retry after {math.ceil(problem.retry_after)} s)'
    unsettled = reply.status == 504
    return exceptions.CommandError(
        text,
        exceptions.Exit.UNSETTLED if unsettled else exceptions.Exit.REFUSED,
    )


def _sign(call: Call, query: dict[str, str], signer: Signer) -> str:
    req = messages.Request(
        call.method,
        urllib.parse.unquote(call.path),
        query,
        {},
        call.body,
        '',
    )
    nonce = secrets.token_hex(NONCE_BYTES)
    return signing.sign(req, signer.key_id, signer.secret, time.time(), nonce)
