"""Port and HTTP adapters for upstreams."""
