"""Tests of fescueyard.control."""
