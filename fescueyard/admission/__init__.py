"""Queueing and concurrency control in front of a backend server."""
