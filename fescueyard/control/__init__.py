"""Replicated, durable configuration and its administration API."""
