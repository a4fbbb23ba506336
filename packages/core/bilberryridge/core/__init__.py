"""Identifiers, documents, requests and messages that all packages build on."""
