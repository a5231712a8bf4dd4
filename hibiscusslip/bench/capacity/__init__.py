"""Estimate what an entry host consumes at the target size.

The estimate multiplies slopes, the measured costs of one more unit of load, by
the rates of the target.
"""
