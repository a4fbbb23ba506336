"""Byte-for-byte forwarding of requests that are routed by host and path."""
