"""Create job ids, and derive home shards from ids and keys."""

import hashlib

from hibiscusslip.model import places

DIGEST_BYTES = 12


class BadJobId(ValueError):
    """Raise for text that is not a job id."""


def keyed_id(home: places.Shard, team: str, key: str) -> str:
    """Return the id of all requests of a team with the same key."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(team.encode())
    digest.update(b'\0')
    digest.update(key.encode())
    return f'{home.zone}.{home.number}.k{digest.hexdigest()}'


def fresh_id(home: places.Shard, token: str) -> str:
    """Return the id of a request without a key; `token` must be unique."""
    return f'{home.zone}.{home.number}.r{token}'


def home_of(job_id: str) -> places.Shard:
    """Return the home shard of a job.

    Raise BadJobId if the text is not a job id.
    """
    head, _, suffix = job_id.rpartition('.')
    zone, _, number = head.rpartition('.')
    if not (zone and number.isdigit() and suffix):
        raise BadJobId(
            f'{job_id!r} is no job id; use the one that submitting returned'
        )
    return places.Shard(zone, int(number))


def keyed_home(
    team: str, key: str, shards: list[places.Shard]
) -> places.Shard:
    """Return the home shard of a key, the same on every host of a region.

    Rendezvous hashing: a changed list of shards moves few keys.
    """

    def weight(shard: places.Shard) -> bytes:
        text = f'{shard}\0{team}\0{key}'
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return max(sorted(shards), key=weight)


def shard_of_endpoint(
    name: str, zone: str, shards_per_zone: int
) -> places.Shard:
    """Return the shard of an endpoint, by rendezvous hashing."""

    def weight(number: int) -> bytes:
        text = f'{number}\0{name}'
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return places.Shard(zone, max(range(shards_per_zone), key=weight))
