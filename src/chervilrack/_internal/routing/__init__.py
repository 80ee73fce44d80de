"""Choice of an upstream by expected completion time, health and prefix cache affinity."""
