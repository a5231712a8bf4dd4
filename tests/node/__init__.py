"""Check the node in one process, over the stand-ins."""
