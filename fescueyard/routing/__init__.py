"""Membership and the choice of a backend server."""
