"""Define the errors of settings files."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Describe a validation error of a settings file and its remedy.

    `key` is the dotted path of the setting, empty for the whole file.
    """

    file: str
    key: str
    expected: str
    remedy: str

    def __str__(self) -> str:
        position = f'{self.file}: {self.key}' if self.key else self.file
        return f'{position}: expected {self.expected}; {self.remedy}'


class SettingsError(Exception):
    """Raise for an invalid settings file; `faults` are all that were found."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__('\n'.join(str(fault) for fault in faults))
        self.faults = faults
