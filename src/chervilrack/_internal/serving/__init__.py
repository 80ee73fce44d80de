"""Serving node for pass-through requests: connects the cores to HTTP, to peers and to the store."""
