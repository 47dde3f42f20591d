"""Modules shared by all packages: result codes, errors, logs, messages."""
