"""Benchmarks, each run as a module."""
