"""Tests of fescueyard.ingress."""
