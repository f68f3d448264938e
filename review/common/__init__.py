"""Harness of the review's script cases."""
