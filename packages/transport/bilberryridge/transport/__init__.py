"""Tasks that own sockets: callers, backend servers and peers."""
