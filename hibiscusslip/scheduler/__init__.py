"""Decide which task starts where: pure code, time is an argument."""
