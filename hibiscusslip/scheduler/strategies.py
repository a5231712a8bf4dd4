"""Name the ways to place tasks and to order the queue."""

import enum


class PlacementName(enum.StrEnum):
    """Name how an endpoint is chosen for a task."""

    FIRST_FIT = 'first_fit'
    BEST_FIT = 'best_fit'
    ALIGNMENT = 'alignment'


class OrderName(enum.StrEnum):
    """Name how the next job is chosen from the queue."""

    FIFO = 'fifo'
    FAIR = 'fair'
