"""Open-loop load, scenarios and reports."""
