"""Command line entry point."""
