"""Test the check of the platform's configuration."""
