"""Test event logs, process logs, metrics and traces."""
