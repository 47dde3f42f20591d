"""Settings of the processes and the checks that validate them."""
