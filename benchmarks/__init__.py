"""Benchmarks with bounds; ``make bench`` runs them all."""
