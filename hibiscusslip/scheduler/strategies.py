"""Name the strategies of placement and queue order."""

import enum


class PlacementName(enum.StrEnum):
    """List the strategies to choose an endpoint for a task."""

    FIRST_FIT = 'first_fit'
    BEST_FIT = 'best_fit'
    ALIGNMENT = 'alignment'


class OrderName(enum.StrEnum):
    """List the strategies to choose the next job from the queue."""

    FIFO = 'fifo'
    FAIR = 'fair'
