"""Assignment of models and adapters to engines."""
