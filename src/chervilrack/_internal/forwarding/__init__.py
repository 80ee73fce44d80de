"""Pass-through requests: reads them, runs their stages, and returns an upstream's whole answer."""
