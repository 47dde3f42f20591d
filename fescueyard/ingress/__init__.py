"""Calls from callers outside the fleet and from backend servers."""
