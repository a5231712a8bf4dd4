"""Serve and call HTTP with h11 on curio."""
