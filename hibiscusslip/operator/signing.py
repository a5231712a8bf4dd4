"""Sign operators' requests and verify them with shared keys.

A signature covers method, path, query, time, nonce and body. To prevent
replays, a request is refused if its nonce was used before or if its time
differs from the host's clock by more than the window.
"""

import collections
import hashlib
import hmac
import re
import typing
import urllib.parse

from hibiscusslip.http import messages
from hibiscusslip.operator import exceptions

SCHEME = 'HMAC-SHA256'
HEADER = 'authorization'
WINDOW_S = 60.0
MAX_NONCES = 50_000
_AUTHORIZATION_PATTERN = re.compile(
    SCHEME + r' key=([\w.-]{1,64}), time=(\d{1,12}),'
    r' nonce=([0-9a-f]{16,64}), signature=([0-9a-f]{64})',
    re.ASCII,
)


def sign(
    req: messages.Request, key_id: str, secret: bytes, now: float, nonce: str
) -> str:
    """Return the value of the authorization header for a request.

    `now` is unix time in seconds, `nonce` an unused string of 16 to 64
    lowercase hex digits.
    """
    timestamp = str(int(now))
    signature = _compute_signature(req, secret, timestamp, nonce)
    return (
        f'{SCHEME} key={key_id}, time={timestamp}, nonce={nonce},'
        f' signature={signature}'
    )


class Verifier:
    """Verify signatures of several valid keys, and refuse replays.

    `secrets` has the secret of each key id; `window` is the largest allowed
    clock difference in seconds.
    """

    def __init__(
        self, secrets: typing.Mapping[str, bytes], window: float = WINDOW_S
    ) -> None:
        self._secrets = dict(secrets)
        self._window = window
        self._nonces: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def verify(self, req: messages.Request, now: float) -> str:
        """Return the id of the key that signed a request.

        Raises AuthenticationFailed, or Unavailable while MAX_NONCES nonces
        are stored. `now` is unix time in seconds.
        """
        match = _AUTHORIZATION_PATTERN.fullmatch(req.headers.get(HEADER, ''))
        if match is None:
            raise exceptions.AuthenticationFailed(
                'the request is not signed; call it by hibiscusslip-ctl with'
                ' --key-id and a secret'
            )
        key_id, timestamp, nonce, signature = match.groups()
        self._check_signature(req, key_id, timestamp, nonce, signature)
        self._check_timestamp(int(timestamp), now)
        self._record_nonce(f'{key_id}:{nonce}', int(timestamp), now)
        return key_id

    def _check_signature(
        self,
        req: messages.Request,
        key_id: str,
        timestamp: str,
        nonce: str,
        signature: str,
    ) -> None:
        # An unknown key costs the same work as a wrong signature, so that the
        # response time doesn't reveal which keys exist.
        secret = self._secrets.get(key_id, b'')
        expected = _compute_signature(req, secret, timestamp, nonce)
        is_valid = hmac.compare_digest(expected, signature)
        if not is_valid or key_id not in self._secrets:
            raise exceptions.AuthenticationFailed(
                f'no valid key {key_id!r} made this signature; use the id and'
                ' secret of a key in the settings of the entry hosts'
            )

    def _check_timestamp(self, timestamp: int, now: float) -> None:
        if abs(now - timestamp) > self._window:
            raise exceptions.AuthenticationFailed(
                f'the request was signed {now - timestamp:.0f} s ago by the'
                f' clock of this host, at most {self._window:g} s are allowed;'
                ' set the clock of your machine'
            )

    def _record_nonce(self, nonce: str, timestamp: int, now: float) -> None:
        while self._nonces:
            oldest = next(iter(self._nonces))
            if self._nonces[oldest] >= now:
                break
            del self._nonces[oldest]
        if nonce in self._nonces:
            raise exceptions.AuthenticationFailed(
                'this very request came before; sign a new one'
            )
        if len(self._nonces) >= MAX_NONCES:
            raise exceptions.Unavailable(
                'too many signed requests at once; try again later',
                self._window,
            )
        # A timestamp may be up to one window ahead of this clock, and is
        # accepted until one window after it, so the nonce stays for two.
        self._nonces[nonce] = now + 2 * self._window


def _compute_signature(
    req: messages.Request, secret: bytes, timestamp: str, nonce: str
) -> str:
    query = urllib.parse.urlencode(sorted(req.query.items()))
    text = '\n'.join(
        (
            SCHEME,
            req.method,
            req.path,
            query,
            timestamp,
            nonce,
            hashlib.sha256(req.body).hexdigest(),
        )
    )
    return hmac.new(secret, text.encode(), 'sha256').hexdigest()
