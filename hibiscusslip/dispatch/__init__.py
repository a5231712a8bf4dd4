"""Decide where and when tasks run.

Nothing here does I/O, and the present time is an argument.
"""
