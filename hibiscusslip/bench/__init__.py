"""Measure decisions, whole request paths and costs per unit of load."""
