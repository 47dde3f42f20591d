"""Settings of every process and the checks that validate them."""
