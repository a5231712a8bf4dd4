"""Test the links between entry hosts."""
