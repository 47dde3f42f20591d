"""Replicated claims that run each non-idempotent request at most once."""
