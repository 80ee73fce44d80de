"""Membership of nodes: the agreed view, heartbeats, failure detection and confirmations."""
