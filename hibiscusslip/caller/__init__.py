"""Serve callers: submit, wait, cancel, explain."""
