"""Tests of fescueyard.routing."""
