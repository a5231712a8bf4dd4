"""Schedule tasks on the endpoints of a cell from plain, diskless hosts."""

__version__ = '0.1.0'
