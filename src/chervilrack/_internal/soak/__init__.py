"""Randomized soak: real node processes under faults from outside, with promises checked."""
