"""Run one host: accept callers' work, and own the cell when it's its turn."""
