"""Routing decisions for requests matched by host and path to registered servers."""
