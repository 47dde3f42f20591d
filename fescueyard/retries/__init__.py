"""Retry allowance of a call chain and poison quarantine."""
