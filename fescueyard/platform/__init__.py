"""Adapter to the deployment platform: its names, formats and requests.

The adapter translates and makes no decisions. The rest of the project does not
use the platform's names.
"""
