"""Pass-through requests: runs their stages, sends them to an upstream and relays its response."""
