"""Keep the truth about the jobs of a shard: pure code, time is given."""
