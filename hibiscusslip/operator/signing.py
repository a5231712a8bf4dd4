"""Sign operators' requests and verify them with shared keys.

A signature covers method, path, query, time, nonce and body. A request is
refused when its time is off by more than a window or its nonce was seen.
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
_FIELDS = re.compile(
    SCHEME + r' key=([\w.-]{1,64}), time=(\d{1,12}),'
    r' nonce=([0-9a-f]{16,64}), signature=([0-9a-f]{64})',
    re.ASCII,
)


def sign(
    req: messages.Request, key_id: str, secret: bytes, now: float, nonce: str
) -> str:
    """Return the authorization header for a request.

    `now` is unix time in seconds, `nonce` 16 to 64 hex digits that were
    never used before.
    """
    stamp = str(int(now))
    proof = _proof(req, secret, stamp, nonce)
    return (
        f'{SCHEME} key={key_id}, time={stamp}, nonce={nonce},'
        f' signature={proof}'
    )


class Verifier:
    """Check signatures with several valid keys, and refuse replays."""

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

        Raises NotAuthentic, and Unavailable while too many requests of the
        window are remembered. `now` is unix time in seconds.
        """
        match = _FIELDS.fullmatch(req.headers.get(HEADER, ''))
        if match is None:
            raise exceptions.NotAuthentic(
                'the request is not signed; call it by hibiscusslip-ctl with'
                ' --key-id and a secret'
            )
        key_id, stamp, nonce, signature = match.groups()
        self._check_signature(req, key_id, stamp, nonce, signature)
        self._check_time(int(stamp), now)
        self._remember(f'{key_id}:{nonce}', int(stamp), now)
        return key_id

    def _check_signature(
        self,
        req: messages.Request,
        key_id: str,
        stamp: str,
        nonce: str,
        signature: str,
    ) -> None:
        # An unknown key takes the same work as a wrong signature.
        secret = self._secrets.get(key_id, b'')
        wanted = _proof(req, secret, stamp, nonce)
        right = hmac.compare_digest(wanted, signature)
        if not right or key_id not in self._secrets:
            raise exceptions.NotAuthentic(
                f'no valid key {key_id!r} made this signature; use the id and'
                ' secret of a key in the settings of the entry hosts'
            )

    def _check_time(self, stamp: int, now: float) -> None:
        if abs(now - stamp) > self._window:
            raise exceptions.NotAuthentic(
                f'the request was signed {now - stamp:.0f} s ago by the clock'
                f' of this host, at most {self._window:g} s are allowed; set'
                ' the clock of your machine'
            )

    def _remember(self, nonce: str, stamp: int, now: float) -> None:
        while self._nonces:
            oldest = next(iter(self._nonces))
            if self._nonces[oldest] >= now:
                break
            del self._nonces[oldest]
        if nonce in self._nonces:
            raise exceptions.NotAuthentic(
                'this very request came before; sign a new one'
            )
        if len(self._nonces) >= MAX_NONCES:
            raise exceptions.Unavailable(
                'too many signed requests at once; try again later',
                self._window,
            )
        # A stamp may lie a window ahead, and stays valid for one more.
        self._nonces[nonce] = now + 2 * self._window


def _proof(
    req: messages.Request, secret: bytes, stamp: str, nonce: str
) -> str:
    query = urllib.parse.urlencode(sorted(req.query.items()))
    text = '\n'.join(
        (
            SCHEME,
            req.method,
            req.path,
            query,
            stamp,
            nonce,
            hashlib.sha256(req.body).hexdigest(),
        )
    )
    return hmac.new(secret, text.encode(), 'sha256').hexdigest()
