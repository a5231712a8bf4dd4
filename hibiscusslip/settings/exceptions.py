"""Name what can be wrong with settings."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Hold one thing that is wrong, where, and how to mend it."""

    file: str
    key: str
    expected: str
    remedy: str

    def __str__(self) -> str:
        where = f'{self.file}: {self.key}' if self.key else self.file
        return f'{where}: expected {self.expected}; {self.remedy}'


class SettingsError(Exception):
    """Raise when a settings file can't be used; names every fault."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__('\n'.join(str(fault) for fault in faults))
        self.faults = faults
