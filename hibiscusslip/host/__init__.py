"""The host process: serves callers and, while it is the owner, the cell."""
