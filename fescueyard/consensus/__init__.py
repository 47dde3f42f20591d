"""Consensus of the control members on a replicated log (Raft)."""
