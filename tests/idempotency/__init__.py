"""Tests of fescueyard.idempotency."""
