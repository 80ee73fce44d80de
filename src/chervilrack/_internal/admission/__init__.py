"""Admission of requests to the stages of their pipelines, under overload.

The owner of the queue of a first stage decides for all nodes which requests begin their stages,
which wait and which are refused. ``core`` holds the waiting orders, ``plan`` chooses those that can
meet their limits, and ``rules`` says for which routes requests are admitted here.
"""
