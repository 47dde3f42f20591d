"""Tests of fescueyard.consensus."""
