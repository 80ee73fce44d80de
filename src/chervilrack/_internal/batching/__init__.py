"""Batches the pieces of many requests into calls of stage upstreams.

One node owns the queue of each stage service (rendezvous hashing over the nodes that are alive).
The others send it their pieces, so that calls are filled from all requests of the fleet. A node
that cannot reach the owner takes the next one in order, at last itself: pieces may be produced
again, so that owners need no agreement. State: the queue and calls of the services owned
(``core``), and the stages of this node's own requests (``progress``).
"""
