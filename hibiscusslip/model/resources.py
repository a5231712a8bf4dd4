"""Describe amounts of processors, memory and accelerators."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Hold an amount of each resource that an endpoint offers.

    Processors are thousandths of a core, memory is in MiB, accelerators,
    slots and connections are whole numbers.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 1
    connections: int = 1

    def __add__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
            self.connections + other.connections,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
            self.connections - other.connections,
        )

    def fits_in(self, room: 'Resources') -> bool:
        """Tell whether this amount fits into `room` in every dimension."""
        return (
            self.cpu_milli <= room.cpu_milli
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
            and self.slots <= room.slots
            and self.connections <= room.connections
        )


NOTHING = Resources(0, 0, 0, 0, 0)
