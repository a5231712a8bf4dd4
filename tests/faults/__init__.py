"""Run real processes in tests and inject faults between them."""
