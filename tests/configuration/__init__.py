"""Tests of fescueyard.configuration."""
