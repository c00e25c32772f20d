"""Adapter to the users' platform.

Translates names, formats and calls; makes no decisions.
"""
