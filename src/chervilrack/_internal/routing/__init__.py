"""Choice of an upstream, upstream health and affinity."""
