"""Define the options that commands share."""

import dataclasses
import os
import pathlib
import typing

import cyclopts

from hibiscusslip.commands import _client
from hibiscusslip.commands import exceptions

SECRET_VARIABLE = 'HIBISCUSSLIP_OPERATOR_SECRET'


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True)
class OperatorOptions:
    """Select the entry hosts to call, and the key to sign with."""

    entry: typing.Annotated[
        list[str],
        cyclopts.Parameter(
            help="ADDRESS:PORT of an entry host's operator listener; give"
            ' several to try them in turn.',
            env_var='HIBISCUSSLIP_OPERATOR_ENTRY',
            negative='',
        ),
    ] = dataclasses.field(default_factory=lambda: ['127.0.0.1:7401'])
    key_id: typing.Annotated[
        str,
        cyclopts.Parameter(
            help='Id of the key to sign with.',
            env_var='HIBISCUSSLIP_OPERATOR_KEY_ID',
        ),
    ] = 'operators-1'
    secret_file: typing.Annotated[
        pathlib.Path | None,
        cyclopts.Parameter(
            help="File with the key's secret; by default the secret is"
            f' read from the variable {SECRET_VARIABLE}.',
        ),
    ] = None
    timeout: typing.Annotated[
        float, cyclopts.Parameter(help='Seconds to wait for a response.')
    ] = 10.0
    json: typing.Annotated[
        bool, cyclopts.Parameter(help='Print JSON.', negative='')
    ] = False

    def make_client(self) -> _client.Client:
        """Return a client that signs its calls; raises CommandError."""
        hosts = _client.parse_entries(self.entry)
        signing_key = _client.SigningKey(self.key_id, self._read_secret())
        return _client.Client(hosts, self.timeout, signing_key)

    def _read_secret(self) -> bytes:
        if self.secret_file is None:
            secret = os.environ.get(SECRET_VARIABLE, '').strip().encode()
        else:
            secret = read_file(self.secret_file).strip()
        if not secret:
            raise exceptions.CommandError(
                f'no secret to sign with; set {SECRET_VARIABLE} or use'
                ' --secret-file',
                exceptions.ExitCode.USAGE,
            )
        return secret


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True)
class CallerOptions:
    """Select the entry hosts to call."""

    entry: typing.Annotated[
        list[str],
        cyclopts.Parameter(
            help="ADDRESS:PORT of an entry host's caller listener; give"
            ' several to try them in turn.',
            env_var='HIBISCUSSLIP_ENTRY',
            negative='',
        ),
    ] = dataclasses.field(default_factory=lambda: ['127.0.0.1:7400'])
    timeout: typing.Annotated[
        float, cyclopts.Parameter(help='Seconds to wait for a response.')
    ] = 10.0
    json: typing.Annotated[
        bool, cyclopts.Parameter(help='Print JSON.', negative='')
    ] = False

    def make_client(self) -> _client.Client:
        """Return a client that calls the entry hosts."""
        return _client.Client(_client.parse_entries(self.entry), self.timeout)


def read_file(path: pathlib.Path) -> bytes:
    """Return the bytes of a file; raises CommandError if it is unreadable."""
    try:
        return path.read_bytes()
    except OSError as exc:
        raise exceptions.CommandError(
            f'{path}: {exc.strerror}; correct the path',
            exceptions.ExitCode.USAGE,
        ) from exc
