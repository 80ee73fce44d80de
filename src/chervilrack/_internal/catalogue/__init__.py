"""Configuration (routes, services, keys) and directory of upstreams of a serving node."""
