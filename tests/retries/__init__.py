"""Tests of fescueyard.retries."""
