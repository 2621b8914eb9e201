"""Builders of test data, a module for each area."""
