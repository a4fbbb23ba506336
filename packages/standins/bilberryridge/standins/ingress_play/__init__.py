"""Discrete-event simulation of a deployment: ingress nodes, engines and callers.

The ingress nodes run the production code; engines, plain servers, links and callers
are models. ``python -m bilberryridge.standins.ingress_play`` compares placement rules.

See Also
--------
bilberryridge.decisions.ingress.node : the code under test.
"""
