"""Rate and burst of a customer over the whole fleet."""
