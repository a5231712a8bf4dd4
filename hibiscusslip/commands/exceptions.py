"""Name what ends a command early."""

import enum


class Exit(enum.IntEnum):
    """Name the exit codes that all programs share."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    LOST_RACE = 3
    INCOMPLETE = 4
    UNSETTLED = 5
    UNREACHABLE = 6


EXIT_HELP = (
    'Exit codes: 0 done; 1 refused or faulty, nothing was changed; 2 wrong'
    ' usage; 3 another configuration was first; 4 done in part, or not'
    ' final yet; 5 not known whether it was done; 6 no host reached.'
)


class CommandError(Exception):
    """Raise to end a command with a message and an exit code."""

    def __init__(self, message: str, code: Exit = Exit.REFUSED) -> None:
        super().__init__(message)
        self.code = code
