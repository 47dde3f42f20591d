"""Parts that every package shares: codes, errors, tables, clocks."""
