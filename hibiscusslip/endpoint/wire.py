"""Define the JSON messages of the endpoints' HTTP protocol.

Bytes travel as base64, answers and checkpoints as plain bodies. The event
stream is a response without an end: a line for each batch of events, and
one at least every `wait` seconds; empty lines mean nothing.
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
    """Hold amounts of resources in the order of the data class."""

    cpu_milli: Amount
    memory_mb: Amount
    accelerators: Amount
    slots: Amount
    connections: Amount

    def resources(self) -> resources.Resources:
        """Return the amounts as a data class."""
        return resources.Resources(
            self.cpu_milli,
            self.memory_mb,
            self.accelerators,
            self.slots,
            self.connections,
        )


class StartRequestEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """Ask for the start of one task."""

    task: str
    attempt: int
    demand: Demand
    lease: Seconds
    tag: bytes
    payload: bytes
    checkpoint: bytes = b''
    trace: str = ''
    void_at: Seconds = 0.0

    def order(self) -> base.StartRequest:
        """Return the order as a data class."""
        return base.StartRequest(
            self.task,
            self.attempt,
            self.demand.resources(),
            self.lease,
            self.tag,
            self.payload,
            self.checkpoint,
            self.trace,
            self.void_at,
        )


class StartBatchRequest(msgspec.Struct, frozen=True):
    """Ask for the start of some tasks."""

    orders: list[StartRequestEntry]


class StartResultEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tell for one order whether it started."""

    task: str
    started: bool
    detail: str = ''


class StartReply(msgspec.Struct, frozen=True):
    """Hold the results in the order of the request."""

    results: list[StartResultEntry]


class RenewRequest(msgspec.Struct, frozen=True):
    """Ask to renew leases."""

    tasks: list[str]
    lease: Seconds


class RenewReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Name the tasks that run no longer; tell the endpoint's clock."""

    gone: list[str]
    clock: Seconds = 0.0


class RunEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold the state of one run."""

    task: str
    attempt: int
    state: base.RunState
    demand: Demand
    tag: bytes
    answer: bytes | None = None
    answer_size: int = 0
    detail: str = ''

    def run(self) -> base.Run:
        """Return the run as a data class."""
        return base.Run(
            self.task,
            self.attempt,
            self.state,
            self.demand.resources(),
            self.tag,
            self.answer,
            self.answer_size,
            self.detail,
        )


class RunsReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold runs or ended runs, with a listing the endpoint's clock."""

    boot: str
    next_event: int
    runs: list[RunEntry]
    clock: Seconds = 0.0


class CheckpointRequest(msgspec.Struct, frozen=True):
    """Ask a task to save its state."""

    task: str


class ThrottleRequest(msgspec.Struct, frozen=True):
    """Ask to slow a task down."""

    task: str
    share: Share


class StopRequest(msgspec.Struct, frozen=True):
    """Ask to stop a task."""

    task: str
    grace: Seconds


class UsageEntry(msgspec.Struct, frozen=True):
    """Hold the lagging use of one run."""

    task: str
    used: Demand
    age: Seconds

    def usage(self) -> base.Usage:
        """Return the usage as a data class."""
        return base.Usage(self.task, self.used.resources(), self.age)


class UsageReply(msgspec.Struct, frozen=True):
    """Hold the usage of all runs."""

    usage: list[UsageEntry]


def demand(amount: resources.Resources) -> Demand:
    """Return the message for an amount of resources."""
    return Demand(
        amount.cpu_milli,
        amount.memory_mb,
        amount.accelerators,
        amount.slots,
        amount.connections,
    )


def build_start_entry(start: base.StartRequest) -> StartRequestEntry:
    """Return the message for one order."""
    return StartRequestEntry(
        start.task,
        start.attempt,
        demand(start.demand),
        start.lease,
        start.tag,
        start.payload,
        start.checkpoint,
        start.trace,
        start.void_at,
    )


def build_run_entry(run: base.Run) -> RunEntry:
    """Return the message for one run."""
    return RunEntry(
        run.task,
        run.attempt,
        run.state,
        demand(run.demand),
        run.tag,
        run.answer,
        run.answer_size,
        run.detail,
    )


def build_usage_entry(usage: base.Usage) -> UsageEntry:
    """Return the message for the use of one run."""
    return UsageEntry(usage.task, demand(usage.used), usage.age)


def decode(body: typing.Any, expected: typing.Any) -> typing.Any:
    """Return the checked message in `body`; raises CallUnsettled."""
    try:
        return msgspec.json.decode(body, type=expected)
    except (msgspec.DecodeError, ValueError) as exc:
        raise exceptions.CallUnsettled(
            f'not a valid message: {exc}; check what listens there'
        ) from exc
