"""Measurements; each module has `run() -> list[dict]`."""
