"""Test the detection of live hosts."""
