"""Check logs, metrics and traces."""
