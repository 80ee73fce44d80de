"""Recorded histories of concurrent runs and their checker."""
