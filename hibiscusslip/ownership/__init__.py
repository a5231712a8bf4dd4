"""Decide who owns each shard, without I/O, from the records of the log."""
