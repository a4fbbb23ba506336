"""Control messages between the daemons."""
