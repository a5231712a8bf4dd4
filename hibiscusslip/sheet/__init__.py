"""Read the morning sheet and report its faults."""
