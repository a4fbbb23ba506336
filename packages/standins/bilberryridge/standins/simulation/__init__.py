"""Deterministic simulation of ingress daemons before servers composed from faults.

The decisions are those of production; sockets, links, the store, backend servers and
callers are models in simulated time. A seed gives one run, event for event. The auditor
judges a run by what callers, backend servers and the store saw.
"""
