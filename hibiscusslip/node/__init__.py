"""Wire decisions and peers together on one loop."""
