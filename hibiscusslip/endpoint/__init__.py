"""Talk to endpoints: start, watch and stop tasks under leases."""
