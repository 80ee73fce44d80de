"""Which inputs crash upstreams: from the ends of upstreams to the requests that are refused.

The slice relates each crash to what the requests at that upstream had in common, shares this with
the other nodes, and decides which requests get no upstream. It may call ``catalogue`` and
``common``; it neither sends messages nor connects to upstreams.
"""
