"""Simulate the platform and the endpoints for tests and demonstrations."""
