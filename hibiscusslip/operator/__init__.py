"""Serve operators: status, drain, history."""
