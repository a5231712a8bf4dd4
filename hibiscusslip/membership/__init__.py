"""Keep track of the other entry hosts: pure code."""
