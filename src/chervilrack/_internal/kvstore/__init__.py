"""Interface to the platform's key-value service and VM list, and its adapters."""
