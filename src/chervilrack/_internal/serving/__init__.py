"""The daemon that serves pass-through requests: connects the cores to HTTP, peers and the store."""
