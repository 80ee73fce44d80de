"""Agreed view, heartbeats and confirmation of the right to act."""
