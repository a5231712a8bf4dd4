"""Show what clients that don't behave make a process hold and do.

Each test starts processes of the system and a crowd of clients. The crowds
and the bounds are fixed. Run these tests one at a time.
"""
