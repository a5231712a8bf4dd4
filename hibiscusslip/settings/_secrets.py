"""Read shared secrets from files and environment variables."""

import os
import pathlib

from hibiscusslip.settings import _checks
from hibiscusslip.settings import _file
from hibiscusslip.settings import _model

MIN_SECRET_BYTES = 16


def read_key(section: _file.KeySection, path: str) -> _model.Key:
    """Return the key with its secret.

    Raises SecretError if the secret is unreadable or too short.
    """
    secret = _read_secret(section, path)
    if len(secret) < MIN_SECRET_BYTES:
        raise SecretError(
            _checks.Problem(
                path,
                f'a secret of at least {MIN_SECRET_BYTES} bytes,'
                f' found {len(secret)}',
                'create a longer one, such as 32 random bytes in hex',
            )
        )
    return _model.Key(section.id, secret)


class SecretError(Exception):
    """Raise for a secret that is unreadable or too short.

    `problem` names the key and the remedy.
    """

    def __init__(self, problem: _checks.Problem) -> None:
        super().__init__(f'{problem.key}: {problem.remedy}')
        self.problem = problem


def _read_secret(section: _file.KeySection, path: str) -> bytes:
    if section.secret_env is not None:
        return os.environ.get(section.secret_env, '').strip().encode()
    file = pathlib.Path(section.secret_file or '')
    try:
        return file.read_bytes().strip()
    except OSError as exc:
        raise SecretError(
            _checks.Problem(
                f'{path}.secret_file',
                f'a readable file, {exc.strerror}',
                f'create {file} or correct its permissions',
            )
        ) from exc
