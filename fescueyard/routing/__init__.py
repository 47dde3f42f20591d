"""Membership, routes and load balancing among backend servers."""
