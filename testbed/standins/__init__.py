"""Stand-ins for the environment of a cluster: engines, clients and operators."""
