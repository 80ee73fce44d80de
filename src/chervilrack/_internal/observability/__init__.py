"""Logging, metrics and explanations of decisions."""
