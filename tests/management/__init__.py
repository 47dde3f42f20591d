"""Tests of fescueyard.management."""
