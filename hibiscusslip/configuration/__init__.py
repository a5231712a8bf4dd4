"""Publish configurations and take them into force."""
