"""Checks of the events that clients, engines and operators recorded."""
