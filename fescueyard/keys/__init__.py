"""Customer keys: authentication, and removal from forwarded requests."""
