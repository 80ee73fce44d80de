"""Port for calls to upstreams, and its HTTP adapters."""
