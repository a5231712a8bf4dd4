"""Check who owns which shards."""
