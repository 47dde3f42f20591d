"""Tests of fescueyard.core."""
