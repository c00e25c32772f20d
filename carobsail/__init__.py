"""Serves many models on fewer accelerators, whole and on time."""
