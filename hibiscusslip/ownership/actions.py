"""Define the actions that the ownership code requests of its caller."""

import dataclasses

from hibiscusslip.model import places
from hibiscusslip.ownership import ledger
from hibiscusslip.peer import messages
from hibiscusslip.records import zone as zone_records


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record to the zone's stream.

    Call `on_append_sent` right before the send and `on_append_outcome`
    once the response has arrived or is no longer awaited.
    """

    record: zone_records.ZoneRecord


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPromise:
    """Send a promise request; pass the reply to `on_promise_reply`."""

    host: places.HostId
    request: messages.PromiseRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Introduce:
    """Send an introduction; pass the reply to `on_introduction_reply`."""

    host: places.HostId
    request: messages.IntroductionRequest


@dataclasses.dataclass(frozen=True, slots=True)
class ShardAcquired:
    """Report that this host holds a shard from now on.

    `previous` is the holding before. `by_transfer` is True if the previous
    owner transferred the shard along with its state; its sends have then
    all arrived, so that no failover wait is needed.
    """

    shard: int
    epoch: int
    previous: ledger.Holding | None
    by_transfer: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ShardLost:
    """Report that a later entry ended this host's lease of a shard."""

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseResumed:
    """Report that an expired lease was resumed by promises of all claimants.

    Another host may have held the shard and terminated in between: proceed
    as after a failover.
    """

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class SuggestTransfer:
    """Suggest planning the transfer of a shard to its preferred owner."""

    shard: int
    successor: places.HostId


@dataclasses.dataclass(frozen=True, slots=True)
class TransferFailed:
    """Report that a committed transfer had no effect: act here again."""

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotDue:
    """Request a snapshot of a shard's state before the log trims it."""

    shard: int
    epoch: int
    seq: int
    as_of: int


Action = (
    AppendRecord
    | RequestPromise
    | Introduce
    | ShardAcquired
    | ShardLost
    | LeaseResumed
    | SuggestTransfer
    | TransferFailed
    | SnapshotDue
)


@dataclasses.dataclass(frozen=True, slots=True)
class TransferPlan:
    """Represent a planned transfer, for which the shard is frozen.

    Wait for sends in flight, send the state under `transfer_id`, and call
    `commit_transfer` once the successor has confirmed it.
    """

    transfer_id: str
    shard: int
    epoch: int
    successor: places.HostId


@dataclasses.dataclass(frozen=True, slots=True)
class TransferRefused:
    """Report why a shard can't be transferred now."""

    shard: int
    reason: str
