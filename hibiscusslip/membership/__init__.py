"""Know the entry hosts of all zones: pure code over heartbeats."""
