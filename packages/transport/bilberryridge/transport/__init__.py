"""Network I/O with callers, backend servers and other daemons."""
