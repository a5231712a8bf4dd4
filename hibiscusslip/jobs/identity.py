"""Make job ids, and read from them where a job is at home."""

import hashlib

from hibiscusslip.model import places

DIGEST_BYTES = 12


class BadJobId(ValueError):
    """Raise for text that is no job id."""


def keyed_id(home: places.Shard, team: str, key: str) -> str:
    """Return the id that every request of a team with a key gets."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(team.encode())
    digest.update(b'\0')
    digest.update(key.encode())
    return f'{home.zone}.{home.number}.k{digest.hexdigest()}'


def fresh_id(home: places.Shard, token: str) -> str:
    """Return an id for a request without a key; `token` is unique."""
    return f'{home.zone}.{home.number}.r{token}'


def home_of(job_id: str) -> places.Shard:
    """Return the shard that a job is at home in.

    Raises BadJobId for text that is no job id.
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
    """Return the home of a key: the same on every host of a region."""

    def weight(shard: places.Shard) -> bytes:
        text = f'{shard}\0{team}\0{key}'
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return max(sorted(shards), key=weight)


def shard_of_endpoint(
    name: str, zone: str, shards_per_zone: int
) -> places.Shard:
    """Return the shard that an endpoint belongs to."""

    def weight(number: int) -> bytes:
        text = f'{number}\0{name}'
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return places.Shard(zone, max(range(shards_per_zone), key=weight))
