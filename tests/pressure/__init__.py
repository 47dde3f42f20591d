"""Tests of fescueyard.pressure."""
