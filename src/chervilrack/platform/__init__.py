"""Adapter for the users' platform: names, formats and calls. It decides nothing."""
