"""Forecasts of how long requests still take, from the times of earlier ones."""
