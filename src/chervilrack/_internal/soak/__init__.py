"""Randomized soak tests: inject faults into node processes and check the service guarantees."""
