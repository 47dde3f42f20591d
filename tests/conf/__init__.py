"""Tests of fescueyard.conf."""
