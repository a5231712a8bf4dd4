"""Check the node in one process, with stand-ins for the platform."""
