"""Replicated claims, so that non-idempotent requests run at most once."""
