"""Help tests to run real processes and to break what is between them."""
