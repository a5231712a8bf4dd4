"""Provide routing, problem details and rate limits to the HTTP APIs."""
