"""Tests of fescueyard.keys."""
