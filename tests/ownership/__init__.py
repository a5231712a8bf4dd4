"""Test the ownership of shards."""
