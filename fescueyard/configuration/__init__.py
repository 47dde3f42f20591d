"""Profiles, services, firms, customers and keys, as versioned objects."""
