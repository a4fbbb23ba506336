"""The decisions of one node: plain state and functions, no socket, thread or clock.

`node.Node.handle` takes one typed event with the time it happened at and returns the
typed effects that the tasks around it carry out. Times are seconds of one monotonic
clock of the process; they are never compared between VMs.
"""
