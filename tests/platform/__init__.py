"""Tests of the adapter to the users' machines."""
