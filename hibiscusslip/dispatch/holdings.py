"""Keep the sum of what an organisation's runs hold in a service's pool."""

import dataclasses
import enum

from hibiscusslip.dispatch import model


class Level(enum.IntEnum):
    """List how a weighted dominant share compares with the fair one."""

    BELOW = 0
    FAIR = 1
    ABOVE = 2


@dataclasses.dataclass(slots=True, eq=False)
class Holding:
    """What the runs of one organisation hold in one service's pool.

    `cpu` is in thousandths of a core, `memory` in MiB. `wanted_at` is when
    a step of the organisation waited last. `share` is its weighted dominant
    share, `level` how that compares with the fair one.
    """

    organisation: str
    cpu: int = 0
    memory: int = 0
    accelerators: int = 0
    wanted_at: float = float('-inf')
    share: float = 0.0
    level: Level = Level.FAIR

    def add(self, demand: model.Demand) -> None:
        """Add the demand of a run that has got an allocation."""
        self.cpu += demand.cpu
        self.memory += demand.memory
        self.accelerators += demand.accelerators

    def subtract(self, demand: model.Demand) -> None:
        """Subtract the demand of a run whose allocation is released."""
        self.cpu -= demand.cpu
        self.memory -= demand.memory
        self.accelerators -= demand.accelerators

    @property
    def held(self) -> tuple[int, int, int]:
        """Return what is held as a vector."""
        return self.cpu, self.memory, self.accelerators
