"""Adapter for the users' platform. It translates names, formats and calls, without any policy."""
