"""The node daemon: connects decision cores to input and output."""
