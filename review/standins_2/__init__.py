"""Stand-ins for clients, engines and the platform, shared by the scripts of the second review."""
