"""Emulated platform for tests and the soak; a running node uses nothing of it."""
