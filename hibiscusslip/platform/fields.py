"""Provide the parts that several of the platform's documents have.

JSON has numbers of any size. Those that the product computes with are bounded:
beyond, they turn into infinities, or can't be turned into floats at all.
"""

import collections.abc

import msgspec

from hibiscusslip.dispatch import model

MAX_NUMBER = 2.0**53  # up to it floats represent all whole numbers


class Document(msgspec.Struct, rename='pascal'):
    """Base class of documents, whose field names are in PascalCase."""


class Resources(Document):
    """Represent amounts of CPU, memory and accelerators."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def amounts(self) -> tuple[int, int, int]:
        """Return the CPU, the memory and the accelerators."""
        return self.cpu, self.mem_mb, self.gpu

    def demand(self) -> model.Demand:
        """Return the resources as a Demand."""
        return model.Demand(*self.amounts())


def are_plausible(numbers: collections.abc.Iterable[float]) -> bool:
    """Return True if numbers are within MAX_NUMBER of 0."""
    return all(-MAX_NUMBER <= number <= MAX_NUMBER for number in numbers)
