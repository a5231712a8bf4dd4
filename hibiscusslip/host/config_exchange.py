"""Learn of new configurations from peers while the store doesn't answer.

A host that the store fails alone would go on admitting keys that were
withdrawn, and refuse new ones. It asks a few peers whether its configuration
is the newest and fetches a newer one from one of them. Ages add up from host
to host, so that hosts which all lack the store don't confirm one another.
"""

import dataclasses
import random
import zlib

import curio
import msgspec

from hibiscusslip.dispatch import model
from hibiscusslip.host import context
from hibiscusslip.host import feeds
from hibiscusslip.host import notices
from hibiscusslip.host import peer_client
from hibiscusslip.peer import messages

MAX_FAR_PEERS = 2  # asked at a time, in other zones
MAX_PEERS = 3
QUERY_TIMEOUT_S = 0.3
FETCH_TIMEOUT_S = 0.6
MAX_DOCUMENT_BYTES = 256 * 1024  # a link of 5 Mbit/s carries it in 0.4 s
MAX_PLAIN_BYTES = 8 * 1024 * 1024  # after decompression
COMPRESSION_LEVEL = 1  # the fastest: nothing else runs meanwhile
CHECK_PERIOD_S = 0.1
# Shares of the time until a configuration has to be in force.
UNCONFIRMED_SHARE = 1 / 3
LATE_ANSWER_SHARE = 1 / 6
MIN_PAUSE_SHARE = 1 / 6
MAX_PAUSE_SHARE = 1 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """Represent a peer's reply.

    `confirmed_at` is the latest time on the monotonic clock of this host at
    which `version` is known to have been the newest.
    """

    peer: str
    version: int
    confirmed_at: float


def must_ask(
    age: float, store_failing: bool, wait: float, config_apply: float
) -> bool:
    """Return True if peers have to be asked; all times in seconds.

    The store confirmed the configuration `age` ago. It may delay its next
    answer by `wait`, unless its last answer was a failure.
    """
    unconfirmed = config_apply * UNCONFIRMED_SHARE
    if store_failing:
        return age > unconfirmed
    return age > max(unconfirmed, wait + config_apply * LATE_ANSWER_SHARE)


def choose_peers(
    hosts: dict[str, notices.HostRecord],
    name: str,
    zone: str,
    rng: random.Random,
) -> list[str]:
    """Return the peers to ask, in other zones first.

    `name` and `zone` are those of the asking host. A partition may cut off
    its whole zone.
    """
    names = [other for other in hosts if other != name]
    rng.shuffle(names)
    far = [other for other in names if hosts[other].zone != zone]
    near = [other for other in names if hosts[other].zone == zone]
    chosen = far[:MAX_FAR_PEERS] + near + far[MAX_FAR_PEERS:]
    return chosen[:MAX_PEERS]


class ConfigExchange:
    """Ask peers about the configuration, and answer them."""

    def __init__(
        self,
        ctx: context.Context,
        feed: feeds.ConfigFeed,
        client: peer_client.PeerClient,
    ) -> None:
        self._ctx = ctx
        self._feed = feed
        self._client = client
        self._rng = random.Random()
        self._asking = False
        self._encoded: tuple[model.Configuration | None, bytes] = (None, b'')

    async def run(self) -> None:
        """Ask peers whenever the store is silent, until cancelled."""
        pause = CHECK_PERIOD_S
        while True:
            await curio.sleep(pause)
            if self._must_ask(context.monotonic()):
                confirmed = await self.ask_peers()
                pause = self._next_pause(pause, confirmed)
            else:
                pause = CHECK_PERIOD_S

    def _next_pause(self, pause: float, confirmed: bool) -> float:
        """Return the time until the next round, longer after failed ones."""
        bound = self._ctx.cfg.bounds.config_apply
        shortest = bound * MIN_PAUSE_SHARE
        if confirmed:
            return shortest
        return min(max(pause * 2, shortest), bound * MAX_PAUSE_SHARE)

    def _must_ask(self, now: float) -> bool:
        ctx = self._ctx
        age = now - self._feed.confirmed_at
        asking = must_ask(
            age,
            self._feed.failing,
            self._feed.wait,
            ctx.cfg.bounds.config_apply,
        )
        if asking and not self._asking:
            ctx.log.note(
                'config_unconfirmed',
                version=ctx.config.version if ctx.config else None,
                store_failing=self._feed.failing,
                age=round(age, 3) if self._feed.confirmed_at else None,
            )
        elif self._asking and not asking:
            ctx.log.note('config_reconfirmed')
        self._asking = asking
        return asking

    async def ask_peers(self) -> bool:
        """Ask a few peers; return True if one of them confirmed a version."""
        ctx = self._ctx
        names = choose_peers(ctx.hosts, ctx.cfg.name, ctx.cfg.zone, self._rng)
        replies = await self._query(names, False, QUERY_TIMEOUT_S)
        newest = max(replies, key=lambda reply: reply.version, default=None)
        version = ctx.config.version if ctx.config else 0
        if newest is not None and newest.version > version:
            replies = await self._query([newest.peer], True, FETCH_TIMEOUT_S)
        confirmed = self._confirm(replies)
        outcome = 'confirmed' if confirmed else 'unconfirmed'
        ctx.metrics.count('config_rounds', outcome=outcome)
        return confirmed

    async def _query(
        self, names: list[str], fetch: bool, timeout: float
    ) -> list[Confirmation]:
        """Return the replies of peers; take a newer configuration in one."""
        config = self._ctx.config
        query = messages.CellConfigQuery(
            config.version if config else 0, fetch
        )
        sent_at = context.monotonic()
        replies = await self._client.call_all(names, query, timeout)
        confirmations = []
        for name, reply in replies.items():
            if isinstance(reply, messages.CellConfigReply):
                self._take(name, reply)
                age = max(reply.age, 0.0)
                confirmations.append(
                    Confirmation(name, reply.version, sent_at - age)
                )
        return confirmations

    def _take(self, name: str, reply: messages.CellConfigReply) -> None:
        ctx = self._ctx
        if not reply.document:
            return
        config = decode(reply.document)
        if config is None:
            ctx.log.note('peer_config_unreadable', peer=name)
            return
        if ctx.config is None or config.version > ctx.config.version:
            ctx.take_config(config, name, len(reply.document))

    def _confirm(self, replies: list[Confirmation]) -> bool:
        """Record the latest confirmation of the version in force."""
        ctx = self._ctx
        times = [
            reply.confirmed_at
            for reply in replies
            if ctx.config is not None and reply.version == ctx.config.version
        ]
        latest = max(times, default=0.0)
        ctx.config_confirmed_at = max(ctx.config_confirmed_at, latest)
        return bool(times)

    def reply(
        self, query: messages.CellConfigQuery, now: float
    ) -> messages.PeerMessage:
        """Return the reply to a peer, a refusal if this host may lag, too."""
        ctx = self._ctx
        config = ctx.config
        if (
            config is None
            or not ctx.cfg.has_organisations
            or not ctx.config_is_current(now)
        ):
            return messages.Refusal('unconfirmed', 'ask another host')
        document = b''
        if query.fetch and config.version > query.version:
            document = self._encode(config)
            ctx.metrics.count('config_bytes_sent', len(document))
        age = now - ctx.config_confirmed_at
        return messages.CellConfigReply(config.version, age, document)

    def _encode(self, config: model.Configuration) -> bytes:
        """Return the document of a configuration, empty if too large."""
        if self._encoded[0] is not config:
            document = encode(config)
            if len(document) > MAX_DOCUMENT_BYTES:
                self._ctx.log.note(
                    'peer_config_too_large',
                    version=config.version,
                    bytes=len(document),
                )
                document = b''
            self._encoded = (config, document)
        return self._encoded[1]


def encode(config: model.Configuration) -> bytes:
    """Return a configuration as a document for peers, without any key.

    It is compressed, as thousands of queues take long on a slow link.
    """
    return zlib.compress(msgspec.msgpack.encode(config), COMPRESSION_LEVEL)


def decode(document: bytes) -> model.Configuration | None:
    """Return the configuration in a document, or None if it is invalid."""
    try:
        plain = zlib.decompressobj().decompress(document, MAX_PLAIN_BYTES)
        return msgspec.msgpack.decode(plain, type=model.Configuration)
    except (zlib.error, msgspec.MsgspecError):
        return None
