"""Chooses the upstream of a pass-through request from load, prompt caches and health."""
