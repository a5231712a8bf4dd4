"""Define the exit codes and the error that ends a command."""

import enum


class ExitCode(enum.IntEnum):
    """Enumerate the exit codes that all programs share."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    LOST_RACE = 3
    INCOMPLETE = 4
    OUTCOME_UNKNOWN = 5
    UNREACHABLE = 6


EXIT_HELP = (
    'Exit codes: 0 done; 1 refused or invalid, nothing was changed; 2 wrong'
    ' usage; 3 another configuration was published first; 4 done in part, or'
    ' not final yet; 5 outcome unknown; 6 no host reached.'
)


class CommandError(Exception):
    """Raise to end a command with a message and an exit code."""

    def __init__(
        self, message: str, code: ExitCode = ExitCode.REFUSED
    ) -> None:
        super().__init__(message)
        self.code = code
