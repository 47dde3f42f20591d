"""Thin edges: HTTP, process streams, datagrams, backend client."""
