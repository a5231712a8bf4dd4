"""Define the data classes that all packages share."""
