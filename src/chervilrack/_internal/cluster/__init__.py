"""Whole clusters on loopback for the quickstart and for experiments."""
