"""Typed YAML settings."""
