"""Check the packages."""
