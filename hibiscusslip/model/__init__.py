"""Hold the data classes that every package shares."""
