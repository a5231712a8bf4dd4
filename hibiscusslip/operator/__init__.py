"""Serve the operators' API: status, drains, jobs and configuration."""
