"""The change feed: a few nodes of each zone watch the store and pass its changes on to the others.

The slice owns the decision which nodes watch, and whether this node's copy of the store is kept
current by the feed. It may call ``common`` only. Nodes do not agree on who watches: a node that
hears from no watcher, or that lacks a change, watches the store itself.
"""
