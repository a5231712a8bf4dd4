"""Manage the jobs of a shard: a state machine without I/O or clock."""
