"""Agreement of the control members on one log."""
