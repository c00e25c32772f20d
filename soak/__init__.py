"""Fault soak: the real programs against stand-ins, with faults from outside."""
