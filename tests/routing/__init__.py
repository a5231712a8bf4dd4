"""Check how requests find their way."""
