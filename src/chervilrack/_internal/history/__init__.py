"""Records the events of experiment runs and checks them for broken promises."""
