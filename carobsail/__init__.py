"""Serves many models on fewer accelerators, completely and on time."""
