"""Share what the HTTP borders have in common: routes, errors, rates."""
