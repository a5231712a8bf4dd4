"""Measure slopes and work out what a host spends at the target size."""
