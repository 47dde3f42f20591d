"""Calls that enter the fleet, or go on from a backend server, at a node."""
