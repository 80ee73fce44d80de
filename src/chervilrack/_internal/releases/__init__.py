"""Release notes: checking, acceptance, application and distribution."""
