"""Shared types: ids, clock, result codes, registries and hashing."""
