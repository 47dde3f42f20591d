"""Tests of fescueyard.transport."""
