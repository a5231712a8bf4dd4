"""Define the JSON messages of the endpoints' HTTP protocol.

Bytes in JSON are encoded as base64; answers and checkpoints are sent as
plain bodies. The event stream is a response without an end. It has a line
for each batch of events, and at least one line every `wait` seconds. Empty
lines are ignored.
"""

import typing

import msgspec

from hibiscusslip.endpoint import base
from hibiscusslip.endpoint import exceptions
from hibiscusslip.model import resources

STATUS_OK = 200

START_PATH = '/start'
RENEW_PATH = '/renew'
RUNS_PATH = '/runs'
EVENTS_PATH = '/events'
EVENT_STREAM_PATH = '/event-stream'
ANSWER_PATH = '/answer'
CHECKPOINT_PATH = '/checkpoint'
THROTTLE_PATH = '/throttle'
STOP_PATH = '/stop'
USAGE_PATH = '/usage'

MAX_INLINE_ANSWER_BYTES = 16 * 1024

Seconds = typing.Annotated[float, msgspec.Meta(ge=0)]
Share = typing.Annotated[float, msgspec.Meta(gt=0, le=1)]
Amount = typing.Annotated[int, msgspec.Meta(ge=0)]


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Represent amounts of resources, as an array in this order."""

    cpu_milli: Amount
    memory_mb: Amount
    accelerators: Amount
    slots: Amount
    connections: Amount

    def to_resources(self) -> resources.Resources:
        """Return the amounts as `resources.Resources`."""
        return resources.Resources(
            self.cpu_milli,
            self.memory_mb,
            self.accelerators,
            self.slots,
            self.connections,
        )


class StartRequestEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """Represent the request to start one run."""

    task: str
    attempt: int
    demand: Demand
    lease: Seconds
    tag: bytes
    payload: bytes
    checkpoint: bytes = b''
    trace: str = ''
    void_at: Seconds = 0.0

    def to_start_request(self) -> base.StartRequest:
        """Return the entry as `base.StartRequest`."""
        return base.StartRequest(
            self.task,
            self.attempt,
            self.demand.to_resources(),
            self.lease,
            self.tag,
            self.payload,
            self.checkpoint,
            self.trace,
            self.void_at,
        )


class StartBatchRequest(msgspec.Struct, frozen=True):
    """Request the start of a batch of runs."""

    orders: list[StartRequestEntry]


class StartResultEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """Report whether one run was started."""

    task: str
    started: bool
    detail: str = ''


class StartReply(msgspec.Struct, frozen=True):
    """Report the results of a batch, in the order of the requests."""

    results: list[StartResultEntry]


class RenewRequest(msgspec.Struct, frozen=True):
    """Request the renewal of leases."""

    tasks: list[str]
    lease: Seconds


class RenewReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Report the tasks no longer running and the endpoint's clock."""

    gone: list[str]
    clock: Seconds = 0.0


class RunEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """Represent one run."""

    task: str
    attempt: int
    state: base.RunState
    demand: Demand
    tag: bytes
    answer: bytes | None = None
    answer_size: int = 0
    detail: str = ''

    def to_run(self) -> base.Run:
        """Return the entry as `base.Run`."""
        return base.Run(
            self.task,
            self.attempt,
            self.state,
            self.demand.to_resources(),
            self.tag,
            self.answer,
            self.answer_size,
            self.detail,
        )


class RunsReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Report runs, either a listing or a batch of ended ones.

    Only a listing has the reading of the endpoint's clock.
    """

    boot: str
    next_event: int
    runs: list[RunEntry]
    clock: Seconds = 0.0


class CheckpointRequest(msgspec.Struct, frozen=True):
    """Request a checkpoint of a task."""

    task: str


class ThrottleRequest(msgspec.Struct, frozen=True):
    """Request a limit of a task to a share of its demand."""

    task: str
    share: Share


class StopRequest(msgspec.Struct, frozen=True):
    """Request the stop of a task."""

    task: str
    grace: Seconds


class UsageEntry(msgspec.Struct, frozen=True):
    """Represent the usage of one run, measured `age` seconds ago."""

    task: str
    used: Demand
    age: Seconds

    def to_usage(self) -> base.Usage:
        """Return the entry as `base.Usage`."""
        return base.Usage(self.task, self.used.to_resources(), self.age)


class UsageReply(msgspec.Struct, frozen=True):
    """Report the usage of all runs."""

    usage: list[UsageEntry]


def build_demand(amount: resources.Resources) -> Demand:
    """Return the wire form of an amount of resources."""
    return Demand(
        amount.cpu_milli,
        amount.memory_mb,
        amount.accelerators,
        amount.slots,
        amount.connections,
    )


def build_start_entry(start: base.StartRequest) -> StartRequestEntry:
    """Return the wire form of a start request."""
    return StartRequestEntry(
        start.task,
        start.attempt,
        build_demand(start.demand),
        start.lease,
        start.tag,
        start.payload,
        start.checkpoint,
        start.trace,
        start.void_at,
    )


def build_run_entry(run: base.Run) -> RunEntry:
    """Return the wire form of a run."""
    return RunEntry(
        run.task,
        run.attempt,
        run.state,
        build_demand(run.demand),
        run.tag,
        run.answer,
        run.answer_size,
        run.detail,
    )


def build_usage_entry(usage: base.Usage) -> UsageEntry:
    """Return the wire form of the usage of one run."""
    return UsageEntry(usage.task, build_demand(usage.used), usage.age)


def decode(body: typing.Any, expected: typing.Any) -> typing.Any:
    """Return the message in `body`, validated against `expected`.

    Raises CallUnsettled when it is invalid.
    """
    try:
        return msgspec.json.decode(body, type=expected)
    except (msgspec.DecodeError, ValueError) as exc:
        raise exceptions.CallUnsettled(
            f'invalid message: {exc}; check which service listens there'
        ) from exc
