"""Tests of fescueyard.limits."""
