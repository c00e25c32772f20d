"""Tests of carobsail."""
