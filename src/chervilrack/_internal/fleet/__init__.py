"""The fleet of serving nodes as one node sees it: heartbeats, endpoint look-up, shared state.

A node learns the addresses of other nodes from the platform's store, from its configured seeds and
from the heartbeats of other nodes. Heartbeats alone decide which nodes are alive, so that an
outage of the store does not affect callers. Nodes do not agree on a view of the fleet, and no
guarantee depends on such an agreement.
"""
