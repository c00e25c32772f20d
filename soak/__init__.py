"""Soak test: runs the real programs against stand-ins and injects faults."""
