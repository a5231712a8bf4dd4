"""Name what can go wrong with the platform."""


class PlatformError(Exception):
    """Raise for any failure of the platform's services."""


class LogUnavailable(PlatformError):
    """Raise when the log refused an append: nothing was written."""


class AppendUnsettled(PlatformError):
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
