"""Billing: replication of bills to a peer, and batches in the store."""
