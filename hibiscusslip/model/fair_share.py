"""Compute weighted dominant shares, by which work competes for a pool."""

import collections.abc

MIN_WEIGHT = 1e-6


def dominant_share(
    held: collections.abc.Sequence[int],
    capacity: collections.abc.Sequence[int],
) -> float:
    """Return the largest fraction that is held of any resource.

    Of a resource without capacity, any amount is the whole.
    """
    share = 0.0
    for part, whole in zip(held, capacity, strict=True):
        if part > 0:
            fraction = part / whole if whole > 0 else 1.0
            share = fraction if fraction > share else share
    return share


def weighted_share(
    held: collections.abc.Sequence[int],
    capacity: collections.abc.Sequence[int],
    weight: float,
) -> float:
    """Return the dominant share divided by the holder's weight."""
    return dominant_share(held, capacity) / max(weight, MIN_WEIGHT)
