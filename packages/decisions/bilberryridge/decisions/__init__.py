"""Decision logic of one node: plain state and functions without sockets or threads.

`node.Node.handle` takes a typed event and its time and returns typed effects, which the
tasks around it carry out. It reads no clock: times are seconds of one monotonic clock
of the process, and are never compared between VMs.
"""
