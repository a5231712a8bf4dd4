"""Decide who owns a shard: pure code over the log's records."""
