"""Rank hosts for each shard by rendezvous hashing."""

import hashlib

from hibiscusslip.model import places


def _weight(shard: places.Shard, name: str) -> bytes:
    text = f'{shard}|{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def ranking(shard: places.Shard, names: frozenset[str]) -> list[str]:
    """Return the host names, the preferred owner first.

    A host that joins or leaves moves only the shards for which it ranks
    first.
    """
    return sorted(
        names, key=lambda name: (_weight(shard, name), name), reverse=True
    )
