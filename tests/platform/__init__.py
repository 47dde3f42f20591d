"""Tests of fescueyard.platform."""
