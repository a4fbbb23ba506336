"""Adapters to the platform's store, VM list and client directory."""
