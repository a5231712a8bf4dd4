"""Name what can go wrong with the platform."""


class PlatformError(Exception):
    """Raise for any failure of the platform's services."""


class LogUnavailable(PlatformError):
    """Raise when the log refused an append: nothing was written."""


class AppendOutcomeUnknown(PlatformError):
    """Raise when no answer came: the append may have taken effect.

    The caller settles it by reading the log for the records' ids, never by
    appending again blindly.
    """


class RecordsTrimmed(PlatformError):
    """Raise when records after the asked offset are kept no longer."""

    def __init__(self, stream: str, asked: int, first: int) -> None:
        super().__init__(
            f'{stream}: records from {asked} are gone, the first kept is'
            f' {first}; rebuild from the newest snapshot'
        )
        self.stream = stream
        self.asked = asked
        self.first = first


class SettingsInvalid(PlatformError):
    """Raise when the settings file can't be used."""


class StoreUnavailable(PlatformError):
    """Raise when the store surely did nothing; try again later."""


class StoreOutcomeUnknown(PlatformError):
    """Raise when no answer of the store came: it may have done the call."""


class StoreConflict(PlatformError):
    """Raise when a condition on an append doesn't hold; read the end."""

    def __init__(self, end: int) -> None:
        super().__init__(f'the partition ends at {end}; read up to there')
        self.end = end


class ProducerFenced(PlatformError):
    """Raise when a producer with a higher epoch has written since."""


class OutOfOrderSequence(PlatformError):
    """Raise when a sequence number doesn't follow the last one."""

    def __init__(self, expected: int) -> None:
        super().__init__(f'the store expects sequence {expected}; use it')
        self.expected = expected


class HistoryTrimmed(PlatformError):
    """Raise when records before `first` are gone; read the newest."""

    def __init__(self, first: int) -> None:
        super().__init__(f'the first kept record is {first}; read anew')
        self.first = first


class RequestOutcomeUnknown(PlatformError):
    """Raise when a worker gave no answer: it may carry the order out."""


class RequestNotSent(PlatformError):
    """Raise when an order surely didn't reach a worker."""


class RequestRefused(PlatformError):
    """Raise when a worker declined an order; `reason` says why."""

    def __init__(self, reason: str, clock_ms: int | None = None) -> None:
        super().__init__(f'the worker declined: {reason}')
        self.reason = reason
        self.clock_ms = clock_ms


class JobInvalid(PlatformError):
    """Raise when a caller's job can't be read; the text says what to mend."""
