"""Define the faults that can be injected into the stand-ins."""

import dataclasses

import msgspec


class LogFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Change the faults of the log; an omitted field stays as it is.

    `latency` is added to every call in seconds. The next `lose_answers`
    appends take effect, but their responses are lost. The next
    `delay_appends` appends get no response and take effect after `delay_s`
    seconds. `trim_before` maps streams to their new first offset.
    """

    down: bool | None = None
    latency: float | None = None
    lose_answers: int | None = None
    delay_appends: int | None = None
    delay_s: float | None = None
    appends_per_s: float | None = None
    trim_before: dict[str, int] | None = None


class HostFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Change the faults of the host list; `lag` and `latency` in seconds."""

    down: bool | None = None
    latency: float | None = None
    lag: float | None = None


class WorkerFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Change the faults of one worker.

    While `down`, connections are dropped. While `frozen`, calls hang.
    `fail_all` fails every run after `fail_after` seconds. The next
    `lose_answers` calls of any kind, event streams included, take effect,
    but their responses are lost; `lose_starts` does so for starts only.
    Usage reports leave out runs younger than `usage_lag` seconds.
    `restart` ends all runs and gives the worker a new boot id.
    """

    down: bool | None = None
    frozen: bool | None = None
    latency: float | None = None
    fail_all: bool | None = None
    fail_after: float | None = None
    lose_answers: int | None = None
    lose_starts: int | None = None
    refuse_starts: bool | None = None
    usage_lag: float | None = None
    restart: bool = False


@dataclasses.dataclass(slots=True)
class LogFaultState:
    """Store the active faults of the log."""

    down: bool = False
    latency: float = 0.0
    lose_answers: int = 0
    delay_appends: int = 0
    delay_s: float = 0.0


@dataclasses.dataclass(slots=True)
class HostFaultState:
    """Store the active faults of the host list."""

    down: bool = False
    latency: float = 0.0
    lag: float = 0.0


@dataclasses.dataclass(slots=True)
class WorkerFaultState:
    """Store the active faults of a worker."""

    down: bool = False
    frozen: bool = False
    latency: float = 0.0
    fail_all: bool = False
    fail_after: float = 0.01
    lose_answers: int = 0
    lose_starts: int = 0
    refuse_starts: bool = False
    usage_lag: float = 1.0


def apply(
    changes: msgspec.Struct,
    state: LogFaultState | HostFaultState | WorkerFaultState,
) -> None:
    """Update `state` with the fields that are set in `changes`."""
    for field in dataclasses.fields(state):
        value = getattr(changes, field.name)
        if value is not None:
            setattr(state, field.name, value)
