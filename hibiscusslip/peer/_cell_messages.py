"""Define the messages between the hosts of a cell and its owner."""

from hibiscusslip.peer import _message


class CellJobQuery(_message.Message, frozen=True, tag='cell_job_query'):
    """Ask the owner of the cell for the state of a job.

    `organisation` is the caller's, '' for none. With `from_memory` the owner
    replies only whether it has read the job so far.
    """

    job: str
    organisation: str = ''
    from_memory: bool = False


class CellJobReply(_message.Message, frozen=True, tag='cell_job_reply'):
    """Report a job's state; `known` is false when no such job exists."""

    known: bool
    state: str


class CellConfigQuery(_message.Message, frozen=True, tag='cell_config_query'):
    """Ask a host whether a version of the configuration is the newest.

    `version` is 0 for none. With `fetch` the reply carries a newer one.
    """

    version: int
    fetch: bool


class CellConfigReply(_message.Message, frozen=True, tag='cell_config_reply'):
    """Return the version of the configuration that a host has.

    `age` is how many seconds ago it was known to be the newest. `document`
    is the configuration if the query asked for it and it is newer.
    """

    version: int
    age: float
    document: bytes = b''


class AdviceQuery(_message.Message, frozen=True, tag='advice_query'):
    """Ask a host to call the advice service for the owner."""

    step: str
    endpoints: list[str]


class AdviceReply(_message.Message, frozen=True, tag='advice_reply'):
    """Return an admission ticket for each eligible endpoint.

    The tickets are valid for `valid` seconds in all and `age` seconds of
    that have passed.
    """

    tickets: dict[str, str]
    valid: float
    age: float


class StoreQuery(_message.Message, frozen=True, tag='store_query'):
    """Ask a host whether it can reach the store; `Done` confirms it."""


class VouchQuery(_message.Message, frozen=True, tag='vouch_query'):
    """Ask a host to vouch that it doesn't claim from the owner of an epoch.

    `Done` says that it has, and counts this if it claims after all.
    """

    epoch: int


class EpochQuery(_message.Message, frozen=True, tag='epoch_query'):
    """Ask a host whether it has ceased to own an epoch; `Done` says so."""

    epoch: int


class InboxWrite(_message.Message, frozen=True, tag='inbox_write'):
    """Ask a host to write inbox records for a sender that can't."""

    items: list[tuple[str, bytes]]


class OwnerRelease(_message.Message, frozen=True, tag='owner_release'):
    """Ask a host to record that the sender releases its ownership.

    `notice` is the record for the store, which the sender can't reach.
    """

    notice: bytes
