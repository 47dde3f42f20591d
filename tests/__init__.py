"""Tests; the folders mirror the packages, ``faults`` starts processes."""
