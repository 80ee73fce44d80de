"""Emulation of the platform for tests and soaks; a serving node never imports this package."""
