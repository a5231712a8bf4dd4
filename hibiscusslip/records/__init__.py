"""Define the records that the system stores on the platform's log."""
