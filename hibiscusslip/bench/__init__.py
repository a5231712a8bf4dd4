"""Measure decisions, whole paths and slopes."""
