"""A small queueing experiment over the decisions: no processes, no wire, no store.

``python -m bilberryridge.standins.queueing`` compares the project's loads, admission
and placement with baselines before simple server models, all with the same arrivals.
"""
