"""Run an entry host: its decision code, its peers and the platform."""
