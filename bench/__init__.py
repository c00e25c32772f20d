"""Benchmarks; each module prints its figures."""
