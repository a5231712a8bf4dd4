"""Processes and calls that the scripts of the third review share."""
