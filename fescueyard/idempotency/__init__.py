"""Claims that make a non-idempotent request run at most once."""
