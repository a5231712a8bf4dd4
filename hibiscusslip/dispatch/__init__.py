"""Decide where and when tasks run; no I/O, the time is an argument."""
