"""Choose which hosts should own which shards."""

import hashlib

from hibiscusslip.model import places


def _weight(shard: places.Shard, name: str) -> bytes:
    text = f'{shard}|{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def ranking(shard: places.Shard, names: frozenset[str]) -> list[str]:
    """Return the host names, best first, by rendezvous hashing.

    A host that comes or goes moves only the shards that it wins.
    """
    return sorted(
        names, key=lambda name: (_weight(shard, name), name), reverse=True
    )
