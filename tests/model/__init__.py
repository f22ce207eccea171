"""Models of consensus, log leases, replicas and state proofs, and the properties shared by the models and the code."""
