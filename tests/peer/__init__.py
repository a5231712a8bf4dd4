"""Check the links between entry hosts."""
