"""Provide an HTTP/1.1 server and client with h11 on a curio loop."""
