"""Fuzz decision code against simple oracles."""
