"""Private implementation of chervilrack; import from ``chervilrack`` instead."""
