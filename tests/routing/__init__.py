"""Test the choice of shards for jobs."""
