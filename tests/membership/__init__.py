"""Check who is known to live."""
