"""Customer keys: hashing, lookup and freshness."""
