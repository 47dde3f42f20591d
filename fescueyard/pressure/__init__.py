"""Back-pressure along the call graph, and load shedding at entry."""
