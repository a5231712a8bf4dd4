"""Find the owner of a shard, and a home for a request: pure code."""
