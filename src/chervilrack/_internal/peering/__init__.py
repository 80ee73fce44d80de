"""Message transport between nodes over ZeroMQ."""
