"""Serve the callers' API: submit, wait for, cancel and explain jobs."""
