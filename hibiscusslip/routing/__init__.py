"""Find shard owners and choose shards for jobs, without I/O."""
