"""Run the sample deployments with synthetic traffic in one process."""
