"""Checks of what clients, engines and operators recorded."""
