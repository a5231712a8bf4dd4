"""Soak test: host processes against a stand-in, under seeded faults."""
