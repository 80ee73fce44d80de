"""Emulated platform service and upstreams with injectable faults."""
