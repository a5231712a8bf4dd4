"""Send the requests of the command line programs to entry hosts."""

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
# Added to the timeout of a call that the host holds open, so that the host
# ends the wait first.
WAIT_SLACK_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHost:
    """Represent the address and port of an entry host."""

    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class SigningKey:
    """Store the key that signs operators' calls."""

    key_id: str
    secret: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Describe a call; the host may hold it open for `wait` seconds."""

    method: str
    path: str
    query: dict[str, str] = dataclasses.field(default_factory=dict)
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    wait: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Represent the response to a call, with its whole body."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def ok(self) -> bool:
        """Return True if the call succeeded."""
        return self.status < 400

    def decode(self, model: typing.Any) -> typing.Any:
        """Return the JSON body as `model`; raises CommandError."""
        try:
            return msgspec.json.decode(self.body, type=model)
        except (msgspec.DecodeError, ValueError) as exc:
            raise exceptions.CommandError(
                f'the response of the host is invalid: {exc}; check that'
                ' --entry is the address of a hibiscusslip entry host',
                exceptions.ExitCode.OUTCOME_UNKNOWN,
            ) from None


class Problem(msgspec.Struct, frozen=True):
    """Represent the members of a problem document that commands use."""

    detail: str = ''
    outcome: str = ''
    job_id: str = ''
    nearest: str = ''
    retry_after: float | None = None


def parse_entries(entries: list[str]) -> list[EntryHost]:
    """Return the hosts that a list of ADDRESS:PORT texts names."""
    hosts = []
    for text in entries:
        address, _, port = text.rpartition(':')
        if not address or not port.isdigit() or int(port) > 65535:
            raise exceptions.CommandError(
                f'--entry {text!r} is not an address; use ADDRESS:PORT',
                exceptions.ExitCode.USAGE,
            )
        hosts.append(EntryHost(address.strip('[]'), int(port)))
    return hosts


def build_path(*parts: str) -> str:
    """Return the path of the given parts, percent-encoded."""
    quoted = [urllib.parse.quote(part, safe='') for part in parts]
    return '/' + '/'.join(quoted)


class Client:
    """Call the first reachable one of several entry hosts."""

    def __init__(
        self,
        hosts: list[EntryHost],
        timeout: float,
        signing_key: SigningKey | None = None,
    ) -> None:
        self._pools = [client.Pool(host.address, host.port) for host in hosts]
        self._timeout = timeout
        self._signing_key = signing_key

    async def call(self, call: Call) -> Reply:
        """Return the reply of the first reachable host.

        Raises CommandError if no host is reachable or the outcome is unknown.
        """
        failures = []
        for pool in self._pools:
            try:
                return await self._send(pool, call)
            except http_exceptions.NotSent as exc:
                failures.append(str(exc))
            except http_exceptions.HttpError as exc:
                raise exceptions.CommandError(
                    f'{exc}; the call may have taken effect, check before'
                    ' you repeat it',
                    exceptions.ExitCode.OUTCOME_UNKNOWN,
                ) from exc
        raise exceptions.CommandError(
            f'no entry host could be reached ({"; ".join(failures)}); check'
            ' --entry',
            exceptions.ExitCode.UNREACHABLE,
        )

    async def _send(self, pool: client.Pool, call: Call) -> Reply:
        query = {name: text for name, text in call.query.items() if text}
        headers = dict(call.headers)
        if self._signing_key is not None:
            headers[signing.HEADER] = _sign(call, query, self._signing_key)
        target = call.path
        if query:
            target = f'{target}?{urllib.parse.urlencode(query)}'
        timeout = self._timeout
        if call.wait:
            timeout = max(timeout, call.wait + WAIT_SLACK_S)
        response = await pool.call(
            call.method,
            target,
            body=call.body,
            headers=headers,
            timeout=timeout,
        )
        return Reply(
            response.status,
            response.headers,
            typing.cast(bytes, response.body),
        )

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._pools:
            await pool.close()


def run(
    client_: Client,
    command: collections.abc.Callable[
        [Client], collections.abc.Coroutine[typing.Any, typing.Any, int]
    ],
) -> int:
    """Run a command with a client, close it and return the exit code."""

    async def main() -> int:
        try:
            return await command(client_)
        finally:
            await client_.close()

    return int(curio.run(main))


async def fetch(client_: Client, call: Call, model: typing.Any) -> typing.Any:
    """Return the body of a call's reply as `model`.

    Raises CommandError if the call fails.
    """
    reply = await client_.call(call)
    if not reply.ok:
        raise make_error(reply)
    return reply.decode(model)


def make_error(reply: Reply) -> exceptions.CommandError:
    """Return the error for the reply to a call that failed."""
    problem = reply.decode(Problem)
    text = problem.detail or f'the host responded with status {reply.status}'
    if problem.retry_after is not None:
        text += f' (retry after {math.ceil(problem.retry_after)} s)'
    outcome_unknown = reply.status == 504
    return exceptions.CommandError(
        text,
        exceptions.ExitCode.OUTCOME_UNKNOWN
        if outcome_unknown
        else exceptions.ExitCode.REFUSED,
    )


def _sign(call: Call, query: dict[str, str], signing_key: SigningKey) -> str:
    req = messages.Request(
        call.method,
        urllib.parse.unquote(call.path),
        query,
        {},
        call.body,
        '',
    )
    nonce = secrets.token_hex(NONCE_BYTES)
    return signing.sign(
        req, signing_key.key_id, signing_key.secret, time.time(), nonce
    )
