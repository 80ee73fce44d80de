"""Batches the pieces of many requests into calls to the upstreams of stage services.

Each stage service has one queue, and one live node owns it (rendezvous hashing). The other nodes
send their pieces to the owner, so that calls are filled from the requests of the whole fleet. A
node that cannot reach the owner tries the next node in rendezvous order, and finally itself. Nodes
need no agreement on the owner, because producing a piece twice does no harm. ``core`` holds the
queue and the calls of an owned service, ``progress`` the stages of one of this node's requests.
"""
