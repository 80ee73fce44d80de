"""Nodes of the fleet as each node sees them: heartbeats, the endpoint look-up, shared state.

Nodes learn addresses from the platform's store, from seeds and from each other, and judge who is
alive by heartbeats alone, so that an outage of the store changes nothing for callers. There is no
agreed view: nothing that must hold depends on one.
"""
