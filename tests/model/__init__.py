"""The model of agreement, leases, copies and proofs, and the properties that model and code have in common."""
