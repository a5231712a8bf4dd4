"""Exceptions of the platform's clients."""

from hibiscusslip.http import messages


class PlatformError(Exception):
    """Base class of all failures of the platform's services."""


class LogUnavailable(PlatformError):
    """Raise when the log is unreachable or refuses a call.

    If the call was an append, provably nothing was written.
    """


class AppendOutcomeUnknown(PlatformError):
    """Raise when an append may have taken effect, as no reply arrived.

    The caller finds the outcome by reading the log for the ids of the
    records. Appending them again without reading could write them twice.
    """


class RecordsTrimmed(PlatformError):
    """Raise when the log no longer retains the records at an offset."""

    def __init__(self, stream: str, asked: int, first: int) -> None:
        super().__init__(
            f'{stream}: records from {asked} are gone, the first kept is'
            f' {first}; rebuild from the newest snapshot'
        )
        self.stream = stream
        self.asked = asked
        self.first = first


class SettingsInvalid(PlatformError):
    """Raise when the settings file is unreadable or invalid."""


class EntryInvalid(PlatformError):
    """Raise when an endpoint's entry can't be read or used."""


class StoreUnavailable(PlatformError):
    """Raise when the store is unreachable or refuses a call.

    The call provably took no effect and can be retried later. Any failure
    of a call to the advice service raises it too, as such a call changes
    nothing.
    """


class StoreOutcomeUnknown(PlatformError):
    """Raise when a call to the store may have taken effect.

    No response arrived, only a part of one, or an invalid one. `transfer` is
    how much of it had arrived.
    """

    def __init__(
        self, reason: str, transfer: messages.Transfer = messages.NO_TRANSFER
    ) -> None:
        super().__init__(reason)
        self.transfer = transfer


class StoreConflict(PlatformError):
    """Raise when the partition doesn't end where an append requires it.

    `end` is the offset at which it ends.
    """

    def __init__(self, end: int) -> None:
        super().__init__(f'the partition ends at {end}; read up to there')
        self.end = end


class ProducerFenced(PlatformError):
    """Raise when a producer with a higher epoch has written meanwhile."""


class OutOfOrderSequence(PlatformError):
    """Raise when a sequence number doesn't follow the producer's last.

    `expected` is the number that the store accepts next.
    """

    def __init__(self, expected: int) -> None:
        super().__init__(f'the store expects sequence {expected}; use it')
        self.expected = expected


class HistoryTrimmed(PlatformError):
    """Raise when the store no longer retains the records at an offset.

    `first` is the oldest offset that it retains. Reading the newest value of
    each key makes up for what is missing.
    """

    def __init__(self, first: int) -> None:
        super().__init__(
            f'the oldest retained record is {first}; read the newest values'
        )
        self.first = first


class RequestOutcomeUnknown(PlatformError):
    """Raise when an endpoint may have carried out a request, or still may.

    No response arrived, or one that doesn't show whether it did.
    """


class RequestNotSent(PlatformError):
    """Raise when a request provably didn't reach the endpoint."""


class ConnectionsExhausted(RequestNotSent):
    """Raise when this host can't open a connection to the endpoint."""


class RequestRefused(PlatformError):
    """Raise when an endpoint refused a request.

    `reason` is the endpoint's own word for why, such as 'late' or 'fence'.
    `clock_ms` is the time on the endpoint's clock, if it was reported.
    """

    def __init__(self, reason: str, clock_ms: int | None = None) -> None:
        super().__init__(f'the endpoint refused the request: {reason}')
        self.reason = reason
        self.clock_ms = clock_ms


class JobInvalid(PlatformError):
    """Raise when the job in a caller's request is invalid.

    The text is for the caller and says what to correct.
    """
