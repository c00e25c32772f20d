"""Benchmarks; each is a module that runs with `python -m bench.<name>`."""
