"""Serve and call HTTP/1.1 with h11 on one curio loop."""
