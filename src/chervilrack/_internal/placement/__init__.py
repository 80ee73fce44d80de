"""Assignment of models, adapters and roles to model engines."""
