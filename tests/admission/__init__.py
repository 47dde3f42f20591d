"""Tests of fescueyard.admission."""
