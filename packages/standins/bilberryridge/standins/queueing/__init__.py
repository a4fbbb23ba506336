"""A queueing simulation of the decision code, without processes, network or store.

``python -m bilberryridge.standins.queueing`` compares the project's load estimates,
admission and placement with baselines on simple server models, all with the same
arrivals.
"""
