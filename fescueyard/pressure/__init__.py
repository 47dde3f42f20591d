"""Back-pressure along the call graph, and turning work away at the door."""
