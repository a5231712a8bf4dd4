"""Provide a sample sheet for each of the two deployments."""

import importlib.resources

NAMES = ('peachtree', 'estendal')


def read(name: str) -> bytes:
    """Return the bytes of a sample sheet, as a spreadsheet exports it."""
    return (
        importlib.resources.files(__package__)
        .joinpath(f'{name}.csv')
        .read_bytes()
    )
