"""Implementations of the subcommands, imported lazily."""
