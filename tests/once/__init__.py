"""Tests of fescueyard.once."""
