"""Emulated upstreams: real HTTP servers with faults and a record that experiments judge by."""
