"""Permit pools: the owner's ledger and each node's holdings."""
