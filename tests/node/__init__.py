"""Tests of the node process."""
