"""Define the records that the system keeps on the platform's log."""
