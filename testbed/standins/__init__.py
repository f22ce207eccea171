"""Stand-ins for what surrounds a cluster: engines, clients and operators."""
