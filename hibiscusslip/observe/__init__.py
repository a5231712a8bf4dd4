"""Write logs, metrics and traces."""
