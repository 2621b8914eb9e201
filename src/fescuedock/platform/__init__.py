"""Adapter for the users' platform: translates its formats and terms into the product's own types.

The package makes no decisions.  The platform's own terms are used only inside it.
"""
