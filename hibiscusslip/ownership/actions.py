"""Define what the ownership code asks its caller to do."""

import dataclasses

from hibiscusslip.model import places
from hibiscusslip.ownership import ledger
from hibiscusslip.peer import messages
from hibiscusslip.records import zone as zone_records


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record to the zone's stream.

    Call `on_append_sent` right before the send and `on_append_settled`
    when its answer is there or given up.
    """

    record: zone_records.ZoneRecord


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPromise:
    """Send a promise request; hand the reply to `on_promise_reply`."""

    host: places.HostId
    request: messages.PromiseRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Introduce:
    """Send an introduction; hand the reply to `on_introduced`."""

    host: places.HostId
    request: messages.IntroductionRequest


@dataclasses.dataclass(frozen=True, slots=True)
class ShardAcquired:
    """Tell that this host holds a shard from now on.

    `previous` is what was held before; `handed_over` tells that the
    previous owner passed it on itself, so that no take-over waits run.
    """

    shard: int
    epoch: int
    previous: ledger.Holding | None
    by_transfer: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ShardLost:
    """Tell that another entry ended this host's holding."""

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseResumed:
    """Tell that a lapsed holding goes on by promises of all claimants.

    Another host may have held the shard and ended in between: proceed as
    after a take-over.
    """

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class SuggestTransfer:
    """Tell that a shard is better owned elsewhere; plan a hand-over."""

    shard: int
    successor: places.HostId


@dataclasses.dataclass(frozen=True, slots=True)
class TransferFailed:
    """Tell that a committed hand-over had no effect: act here again."""

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotDue:
    """Ask for a snapshot of a shard's live state, ahead of retention."""

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
    """Hold a planned hand-over; the shard is frozen from now on.

    Wait for sends in flight, pass the state on under `transfer_id`, and
    once it is confirmed call `commit_hand_over`.
    """

    transfer_id: str
    shard: int
    epoch: int
    successor: places.HostId


@dataclasses.dataclass(frozen=True, slots=True)
class TransferRefused:
    """Tell why a shard can't be handed over now."""

    shard: int
    reason: str
