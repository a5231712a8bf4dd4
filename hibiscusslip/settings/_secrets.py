"""Read shared secrets from files and environment variables."""

import os
import pathlib

from hibiscusslip.settings import _checks
from hibiscusslip.settings import _file
from hibiscusslip.settings import _model

MIN_SECRET_BYTES = 16


def read_key(section: _file.KeySection, path: str) -> _model.Key:
    """Return the key with its secret; raises SecretMissing."""
    secret = _read(section, path)
    if len(secret) < MIN_SECRET_BYTES:
        raise SecretMissing(
            _checks.Problem(
                path,
                f'a secret of at least {MIN_SECRET_BYTES} bytes,'
                f' found {len(secret)}',
                'make a longer one, such as 32 random bytes in hex',
            )
        )
    return _model.Key(section.id, secret)


class SecretMissing(Exception):
    """Raise when a secret can't be read; holds the problem."""

    def __init__(self, problem: _checks.Problem) -> None:
        super().__init__(f'{problem.key}: {problem.remedy}')
        self.problem = problem


def _read(section: _file.KeySection, path: str) -> bytes:
    if section.secret_env is not None:
        return os.environ.get(section.secret_env, '').strip().encode()
    file = pathlib.Path(section.secret_file or '')
    try:
        return file.read_bytes().strip()
    except OSError as exc:
        raise SecretMissing(
            _checks.Problem(
                f'{path}.secret_file',
                f'a file that can be read, {exc.strerror}',
                f'create {file} or correct its permissions',
            )
        ) from exc
