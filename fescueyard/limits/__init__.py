"""Fleet-wide rate and burst limits of customers."""
