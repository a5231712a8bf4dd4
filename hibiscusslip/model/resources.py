"""Define amounts of processors, memory and other resources."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Represent an amount of each resource that an endpoint offers.

    `cpu_milli` is in thousandths of a core, `memory_mb` in MiB; accelerators,
    slots and connections are counts.
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

    def fits_in(self, available: 'Resources') -> bool:
        """Return whether this fits into `available` in every dimension."""
        return (
            self.cpu_milli <= available.cpu_milli
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
            and self.slots <= available.slots
            and self.connections <= available.connections
        )


NOTHING = Resources(0, 0, 0, 0, 0)
