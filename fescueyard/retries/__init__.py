"""Retry budgets and quarantine of requests that crash backend servers."""
