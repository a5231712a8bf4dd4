"""Provide calls to endpoints: start, poll and stop runs under leases."""
