"""Types and functions used by all parts: ids, clocks, result codes, documents and hashing."""
