"""Adapter to the platform of Tangle-Free Lights: its names, formats and calls.

The package translates and decides nothing. Only its `__main__` module starts daemons.
"""
