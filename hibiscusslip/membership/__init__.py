"""Track the entry hosts of all zones by heartbeats, without I/O."""
