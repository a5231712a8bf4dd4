"""Run a morning's work of both deployments in one process."""
