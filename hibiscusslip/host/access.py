"""Decide who may call a queue and who may access a job; no I/O.

The host that receives a call decides by the key, with the configuration that
it has. What the caller may do with a job is decided by the owner, which
knows the job's organisation.
"""

import collections
import dataclasses
import enum
import hmac

from hibiscusslip.dispatch import model

INDEX_BYTES = 8


class Verdict(enum.StrEnum):
    """List what a host decides about a caller.

    UNDECIDED means that a newer configuration may admit the caller.
    """

    ADMITTED = 'admitted'
    REFUSED = 'refused'
    UNDECIDED = 'undecided'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Represent the decision about a caller.

    `organisation` is the one that the caller belongs to, '' for none.
    """

    verdict: Verdict
    organisation: str = ''


class KeyIndex:
    """Find the organisation of a key by the key's digest.

    Digests are looked up by their first bytes, which the caller can't choose,
    and compared in constant time.
    """

    def __init__(self, organisations: dict[str, model.Organisation]) -> None:
        self._entries: dict[bytes, list[tuple[bytes, str]]] = (
            collections.defaultdict(list)
        )
        for organisation in organisations.values():
            for digest in organisation.key_digests:
                entry = (digest, organisation.name)
                self._entries[digest[:INDEX_BYTES]].append(entry)

    def find(self, digest: bytes) -> str | None:
        """Return the name of the key's organisation, None if unknown."""
        found = None
        for known, name in self._entries.get(digest[:INDEX_BYTES], ()):
            if hmac.compare_digest(known, digest):
                found = name
        return found


class Authenticator:
    """Decide about callers; keeps the index of the configuration in force."""

    def __init__(self) -> None:
        self._config: model.Configuration | None = None
        self._index = KeyIndex({})

    def decide(
        self,
        config: model.Configuration,
        queue: model.Queue,
        digest: bytes | None,
        config_is_current: bool,
    ) -> Decision:
        """Return the decision about a caller of `queue`.

        `digest` is that of the caller's key, None if it sent none.
        """
        if config.organisations is None:
            return Decision(Verdict.ADMITTED)
        organisation = self._find_organisation(config, digest)
        if organisation is not None:
            return Decision(Verdict.ADMITTED, organisation)
        if queue.public:
            return Decision(Verdict.ADMITTED)
        if not config_is_current:
            return Decision(Verdict.UNDECIDED)
        return Decision(Verdict.REFUSED)

    def _find_organisation(
        self, config: model.Configuration, digest: bytes | None
    ) -> str | None:
        if config is not self._config:
            self._index = KeyIndex(config.organisations or {})
            self._config = config
        return None if digest is None else self._index.find(digest)


def decide_job_access(
    config: model.Configuration | None,
    queue: model.Queue | None,
    job_organisation: str,
    organisation: str,
) -> Verdict:
    """Return whether callers of `organisation` may see and cancel a job.

    The job of `job_organisation` was submitted to `queue`, None if that isn't
    known. '' stands for no organisation.
    """
    if job_organisation in ('', organisation):
        return Verdict.ADMITTED
    if queue is not None and queue.public:
        return Verdict.ADMITTED
    if config is None:
        return Verdict.UNDECIDED
    if config.organisations is None:
        return Verdict.ADMITTED
    return Verdict.REFUSED
