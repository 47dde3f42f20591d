"""A small fleet on one machine for the demo, the tests and benchmarks."""
