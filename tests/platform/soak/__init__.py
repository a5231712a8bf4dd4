"""Run real hosts against a stand-in of the platform under seeded faults."""
