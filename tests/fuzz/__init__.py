"""Fuzz pure decisions against simple oracles."""
