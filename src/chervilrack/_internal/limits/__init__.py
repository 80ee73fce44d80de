"""Limits of teams and upstreams: allocation by their owners and permits at each node."""
