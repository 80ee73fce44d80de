"""Serving system for multi-stage model pipelines over shared upstreams."""

__version__ = "0.1.0"

__all__ = ["__version__"]
