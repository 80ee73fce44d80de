"""What is served: routes, services and keys of the configuration, and the known upstreams."""
