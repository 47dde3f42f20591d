"""Adapter to the users' machines: their names, formats and calls.

It translates and decides nothing; the rest of the project does not know these
names.
"""
